#ifndef ACACIASILL_NET_PEER_CHANNEL_H
#define ACACIASILL_NET_PEER_CHANNEL_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/basic_stream_socket.hpp>
#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>

#include "acaciasill/net/peer_settings.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/frame_reader.h"

namespace acaciasill::net {

// The serial executor that everything about one connection runs on.
using peer_executor = asio::strand<asio::io_context::executor_type>;
using peer_socket = asio::basic_stream_socket<asio::ip::tcp, peer_executor>;
using peer_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>, peer_executor>;

// What a channel tells its owner. Neither is called after on_closed.
struct peer_channel_handlers {
  std::function<void(wire::frame)> on_frame;
  // The reason is peer_lost, peer_stalled, frame_corrupt, frame_too_large, or the one given to
  // close.
  std::function<void(support::result_code)> on_closed;
};

// An established connection that carries frames both ways: it gathers all frames that wait into one
// write, bounds what is read, and closes when the peer stalls. All methods run on its executor.
class peer_channel : public std::enable_shared_from_this<peer_channel> {
public:
  peer_channel(peer_socket socket, const peer_settings& settings);

  // Begins to read. Frames are bounded as before authentication until accept_all_frames.
  void start(peer_channel_handlers handlers);

  // Lifts the bound of the handshake, once the peer is authenticated.
  void accept_all_frames() { reader_.set_max_frame(wire::max_frame_bytes); }

  // Queues a message and returns the place of its first byte in the outgoing stream.
  template <typename Message>
  std::uint64_t send(const Message& message) {
    const std::uint64_t place = written_ + writing_.size() - writing_at_ + filling_.size();
    wire::append_frame(filling_, message);
    schedule_flush();
    return place;
  }

  // Whether the bytes that wait are within their bound.
  bool has_room() const;

  // The place in the outgoing stream before which bytes may have been written.
  std::uint64_t possibly_written() const;

  // Closes the connection; on_closed is called with the reason, once.
  void close(support::result_code reason);

private:
  void read();
  void handle_bytes();
  void schedule_flush();
  void flush();
  void write();
  void watch();

  peer_socket socket_;
  peer_timer watch_timer_;
  support::duration stall_timeout_;
  std::size_t max_backlog_bytes_;
  peer_channel_handlers handlers_;
  wire::frame_reader reader_{wire::max_handshake_frame_bytes};
  bool closed_ = false;

  // The moment at which the partial frame began, where there is one.
  support::time_point partial_since_{};
  bool has_partial_ = false;

  // Frames that wait for the next write, and those of the present one.
  std::string filling_;
  std::string writing_;
  std::size_t writing_at_ = 0;
  std::uint64_t written_ = 0;
  support::time_point write_progress_{};
  bool flush_scheduled_ = false;
  bool is_writing_ = false;
};

} // namespace acaciasill::net

#endif
