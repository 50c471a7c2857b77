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

// Executor that serialises all operations of one connection.
using peer_executor = asio::strand<asio::io_context::executor_type>;
using peer_socket = asio::basic_stream_socket<asio::ip::tcp, peer_executor>;
using peer_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>, peer_executor>;

// Callbacks of a channel. Neither is called after on_closed.
struct peer_channel_handlers {
  std::function<void(wire::frame)> on_frame;
  // Receives the reason: peer_lost, peer_stalled, frame_corrupt, frame_too_large, or the argument
  // of close.
  std::function<void(support::result_code)> on_closed;
  // Receives true when frames wait to be written, and false once all are written or the connection
  // is closed; optional.
  std::function<void(bool)> on_writing;
};

// Established connection that sends and receives frames. It batches queued frames into one write,
// bounds the size of received frames, and closes when the peer stalls. All methods have to be
// called on its executor.
class peer_channel : public std::enable_shared_from_this<peer_channel> {
public:
  peer_channel(peer_socket socket, const peer_settings& settings);

  // Starts reading. Frames are limited to max_handshake_frame_bytes until accept_all_frames.
  void start(peer_channel_handlers handlers);

  // Raises the frame size limit to max_frame_bytes once the peer is authenticated.
  void accept_all_frames() { reader_.set_max_frame(wire::max_frame_bytes); }

  // Queues a message and returns the offset of its first byte in the outgoing stream.
  template <typename Message>
  std::uint64_t send(const Message& message) {
    const std::uint64_t offset =
        bytes_written_ + current_write_.size() - current_write_offset_ + queued_output_.size();
    wire::append_frame(queued_output_, message);
    schedule_flush();
    return offset;
  }

  // Whether the unwritten bytes are below max_backlog_bytes.
  bool has_room() const;

  // Offset in the outgoing stream below which bytes may have been written.
  std::uint64_t possibly_written() const;

  // Closes the connection and calls on_closed with the reason; does nothing if already closed.
  void close(support::result_code reason);

private:
  void read();
  void process_received_bytes();
  void schedule_flush();
  void set_writing(bool has_output);
  void flush();
  void write();
  void schedule_stall_check();

  peer_socket socket_;
  peer_timer stall_timer_;
  support::duration stall_timeout_;
  std::size_t max_backlog_bytes_;
  peer_channel_handlers handlers_;
  wire::frame_reader reader_{wire::max_handshake_frame_bytes};
  bool closed_ = false;

  // Arrival time of the first bytes of the partial frame; valid if has_partial_frame_.
  support::time_point partial_frame_since_{};
  bool has_partial_frame_ = false;

  // Frames queued for the next write, and frames of the write in progress.
  std::string queued_output_;
  std::string current_write_;
  std::size_t current_write_offset_ = 0;
  std::uint64_t bytes_written_ = 0;
  support::time_point last_write_progress_{};
  bool flush_scheduled_ = false;
  bool has_output_ = false;
  bool is_writing_ = false;
};

} // namespace acaciasill::net

#endif
