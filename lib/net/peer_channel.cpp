#include "acaciasill/net/peer_channel.h"

#include <utility>

#include <asio/post.hpp>

namespace acaciasill::net {
namespace {

using support::monotonic_now;
using support::result_code;

// Largest capacity that a write buffer keeps between writes, in bytes.
constexpr std::size_t max_retained_buffer_bytes = std::size_t{1024} * 1024;

// Clears a buffer and releases its memory if its capacity is over the limit.
void reset_buffer(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > max_retained_buffer_bytes) {
    buffer.shrink_to_fit();
  }
}

} // namespace

peer_channel::peer_channel(peer_socket socket, const peer_settings& settings)
    : socket_(std::move(socket)), stall_timer_(socket_.get_executor()),
      stall_timeout_(settings.stall_timeout), max_backlog_bytes_(settings.max_backlog_bytes) {}

void peer_channel::start(peer_channel_handlers handlers) {
  handlers_ = std::move(handlers);
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  schedule_stall_check();
  read();
}

bool peer_channel::has_room() const {
  return queued_output_.size() + current_write_.size() - current_write_offset_ < max_backlog_bytes_;
}

std::uint64_t peer_channel::possibly_written() const {
  // The kernel may have accepted a write in progress whose completion is not yet reported.
  return bytes_written_ + (is_writing_ ? current_write_.size() - current_write_offset_ : 0);
}

void peer_channel::close(result_code reason) {
  if (std::exchange(closed_, true)) {
    return;
  }
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  stall_timer_.cancel();
  set_writing(false);
  // A handler may be running, so the handlers are released in a later task of the executor.
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
        self->process_received_bytes();
      });
}

void peer_channel::process_received_bytes() {
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
  if (reader_.has_partial_frame() && (has_frame || !has_partial_frame_)) {
    partial_frame_since_ = monotonic_now();
  }
  has_partial_frame_ = reader_.has_partial_frame();
  read();
}

void peer_channel::set_writing(bool has_output) {
  if (std::exchange(has_output_, has_output) != has_output && handlers_.on_writing) {
    handlers_.on_writing(has_output);
  }
}

void peer_channel::schedule_flush() {
  set_writing(!closed_);
  if (is_writing_ || flush_scheduled_ || closed_) {
    return;
  }
  // Deferred, so that all frames queued by the current task go into one write.
  flush_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->flush();
  });
}

void peer_channel::flush() {
  if (closed_ || is_writing_) {
    return;
  }
  if (queued_output_.empty()) {
    set_writing(false);
    return;
  }
  std::swap(queued_output_, current_write_);
  current_write_offset_ = 0;
  is_writing_ = true;
  last_write_progress_ = monotonic_now();
  write();
}

void peer_channel::write() {
  socket_.async_write_some(
      asio::buffer(current_write_.data() + current_write_offset_,
                   current_write_.size() - current_write_offset_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        if (self->closed_) {
          return;
        }
        self->bytes_written_ += count;
        self->current_write_offset_ += count;
        if (error) {
          self->is_writing_ = false;
          self->close(result_code::peer_lost);
          return;
        }
        if (self->current_write_offset_ < self->current_write_.size()) {
          self->last_write_progress_ = monotonic_now();
          self->write();
          return;
        }
        self->is_writing_ = false;
        self->current_write_offset_ = 0;
        reset_buffer(self->current_write_);
        self->flush();
      });
}

void peer_channel::schedule_stall_check() {
  stall_timer_.expires_after(stall_timeout_ / 2);
  stall_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->closed_) {
      return;
    }
    const auto limit = monotonic_now() - self->stall_timeout_;
    const bool reads_stalled = self->has_partial_frame_ && self->partial_frame_since_ < limit;
    const bool writes_stalled = self->is_writing_ && self->last_write_progress_ < limit;
    if (reads_stalled || writes_stalled) {
      self->close(result_code::peer_stalled);
      return;
    }
    self->schedule_stall_check();
  });
}

} // namespace acaciasill::net
