#include "acaciasill/net/peer_channel.h"

#include <utility>

#include <asio/post.hpp>

namespace acaciasill::net {
namespace {

using support::monotonic_now;
using support::result_code;

// The space that a write buffer keeps between writes, in bytes.
constexpr std::size_t keep_buffer_bytes = std::size_t{1024} * 1024;

// Empties a buffer and gives its space back where it has grown large.
void reset_buffer(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > keep_buffer_bytes) {
    buffer.shrink_to_fit();
  }
}

} // namespace

peer_channel::peer_channel(peer_socket socket, const peer_settings& settings)
    : socket_(std::move(socket)), watch_timer_(socket_.get_executor()),
      stall_timeout_(settings.stall_timeout), max_backlog_bytes_(settings.max_backlog_bytes) {}

void peer_channel::start(peer_channel_handlers handlers) {
  handlers_ = std::move(handlers);
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  watch();
  read();
}

bool peer_channel::has_room() const {
  return filling_.size() + writing_.size() - writing_at_ < max_backlog_bytes_;
}

std::uint64_t peer_channel::possibly_written() const {
  // A write in progress may have been taken by the kernel although it has not reported so yet.
  return written_ + (is_writing_ ? writing_.size() - writing_at_ : 0);
}

void peer_channel::close(result_code reason) {
  if (std::exchange(closed_, true)) {
    return;
  }
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  watch_timer_.cancel();
  // The handlers may be on the stack now, so they are released on a later turn.
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
  handlers_.on_closed(reason);
}

void peer_channel::read() {
  const auto space = reader_.prepare();
  socket_.async_read_some(
      asio::buffer(space.data(), space.size()),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->close(result_code::peer_lost);
          return;
        }
        self->reader_.commit(count);
        self->handle_bytes();
      });
}

void peer_channel::handle_bytes() {
  bool has_frame = false;
  while (!closed_) {
    const auto bytes = reader_.next();
    if (!bytes.ok()) {
      close(support::code_of(bytes.status()));
      return;
    }
    if (!*bytes) {
      break;
    }
    has_frame = true;
    auto frame = wire::decode_frame(**bytes);
    if (!frame.ok()) {
      close(support::code_of(frame.status()));
      return;
    }
    handlers_.on_frame(*std::move(frame));
  }
  if (closed_) {
    return;
  }
  if (reader_.has_partial_frame() && (has_frame || !has_partial_)) {
    partial_since_ = monotonic_now();
  }
  has_partial_ = reader_.has_partial_frame();
  read();
}

void peer_channel::schedule_flush() {
  if (is_writing_ || flush_scheduled_ || closed_) {
    return;
  }
  // One turn later, so that all frames of this turn leave in one write.
  flush_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->flush();
  });
}

void peer_channel::flush() {
  if (closed_ || is_writing_ || filling_.empty()) {
    return;
  }
  std::swap(filling_, writing_);
  writing_at_ = 0;
  is_writing_ = true;
  write_progress_ = monotonic_now();
  write();
}

void peer_channel::write() {
  socket_.async_write_some(
      asio::buffer(writing_.data() + writing_at_, writing_.size() - writing_at_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        if (self->closed_) {
          return;
        }
        self->written_ += count;
        self->writing_at_ += count;
        if (error) {
          self->is_writing_ = false;
          self->close(result_code::peer_lost);
          return;
        }
        if (self->writing_at_ < self->writing_.size()) {
          self->write_progress_ = monotonic_now();
          self->write();
          return;
        }
        self->is_writing_ = false;
        self->writing_at_ = 0;
        reset_buffer(self->writing_);
        self->flush();
      });
}

void peer_channel::watch() {
  watch_timer_.expires_after(stall_timeout_ / 2);
  watch_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->closed_) {
      return;
    }
    const auto limit = monotonic_now() - self->stall_timeout_;
    const bool reads_stalled = self->has_partial_ && self->partial_since_ < limit;
    const bool writes_stalled = self->is_writing_ && self->write_progress_ < limit;
    if (reads_stalled || writes_stalled) {
      self->close(result_code::peer_stalled);
      return;
    }
    self->watch();
  });
}

} // namespace acaciasill::net
