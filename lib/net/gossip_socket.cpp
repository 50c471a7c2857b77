#include "acaciasill/net/gossip_socket.h"

#include <array>
#include <utility>

#include <asio/basic_datagram_socket.hpp>
#include <asio/dispatch.hpp>
#include <asio/strand.hpp>

#include "absl/strings/str_cat.h"

#include "acaciasill/support/log.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/datagram_codec.h"
#include "acaciasill/wire/datagram_envelope.h"
#include "acaciasill/wire/handshake.h"

namespace acaciasill::net {
namespace {

using asio::ip::udp;
using support::result_code;

using executor_type = asio::strand<asio::io_context::executor_type>;

// Size of the kernel's receive buffer, in bytes.
constexpr int receive_buffer_bytes = 1024 * 1024;

void increment(std::atomic<std::uint64_t>& counter, std::uint64_t amount = 1) {
  counter.fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t generate_epoch() {
  std::uint64_t epoch = 0;
  for (const char byte : wire::make_nonce().substr(0, sizeof(epoch))) {
    epoch = epoch << 8U | static_cast<unsigned char>(byte);
  }
  return epoch;
}

class udp_gossip_socket : public gossip_socket,
                          public std::enable_shared_from_this<udp_gossip_socket> {
public:
  udp_gossip_socket(asio::io_context& context, std::string key, datagram_handler handler)
      : executor_(context.get_executor()), socket_(executor_), key_(std::move(key)),
        handler_(std::move(handler)), epoch_(generate_epoch()) {}

  absl::Status bind(const udp::endpoint& address);
  void receive();

  void send(const std::string& to, const control::datagram& message) override;
  void stop() override;
  std::string address() const override { return address_; }
  const gossip_counters& counters() const override { return counters_; }

private:
  void write(const udp::endpoint& to, const control::datagram& message);
  void handle_packet(std::size_t size);

  executor_type executor_;
  asio::basic_datagram_socket<udp, executor_type> socket_;
  std::string key_;
  datagram_handler handler_;
  gossip_counters counters_;
  std::string address_;
  std::uint64_t epoch_;
  std::uint64_t sequence_ = 0;
  wire::replay_filter replay_filter_;
  udp::endpoint sender_;
  // One byte larger than the largest packet, so that oversized packets are detected.
  std::array<char, wire::max_packet_bytes + 1> buffer_{};
};

absl::Status udp_gossip_socket::bind(const udp::endpoint& address) {
  asio::error_code error;
  socket_.open(address.protocol(), error);
  if (!error) {
    socket_.bind(address, error);
  }
  if (error) {
    return support::make_error(result_code::port_in_use,
                               absl::StrCat(format_gossip_address(address), ": ", error.message()));
  }
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
  socket_.non_blocking(true, ignored);
  address_ = format_gossip_address(socket_.local_endpoint(ignored));
  return absl::OkStatus();
}

void udp_gossip_socket::receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (!self->socket_.is_open()) {
          return;
        }
        // An error reports the failure of an earlier datagram, for example an unreachable port.
        if (!error) {
          self->handle_packet(size);
        }
        self->receive();
      });
}

void udp_gossip_socket::handle_packet(std::size_t size) {
  increment(counters_.received);
  increment(counters_.received_bytes, size);
  const std::string sender = format_gossip_address(sender_);
  const auto packet =
      wire::open_packet(key_, {sender, address_}, std::string_view(buffer_.data(), size));
  if (!packet.ok()) {
    const auto code = support::code_of(packet.status());
    const bool is_unauthenticated = code == result_code::peer_not_authenticated;
    const bool is_too_large = code == result_code::frame_too_large;
    increment(is_unauthenticated ? counters_.not_authenticated
                                 : (is_too_large ? counters_.too_large : counters_.corrupt));
    return;
  }
  auto message = wire::decode_datagram(packet->payload);
  if (!message.ok()) {
    increment(counters_.corrupt);
    return;
  }
  if (!replay_filter_.accept(sender, packet->epoch, packet->sequence)) {
    increment(counters_.replayed);
    return;
  }
  handler_(sender, *std::move(message));
}

void udp_gossip_socket::send(const std::string& to, const control::datagram& message) {
  const auto endpoint = parse_gossip_address(to);
  if (!endpoint.ok()) {
    increment(counters_.not_sent);
    return;
  }
  asio::dispatch(executor_, [self = shared_from_this(), endpoint = *endpoint, message] {
    self->write(endpoint, message);
  });
}

void udp_gossip_socket::write(const udp::endpoint& to, const control::datagram& message) {
  const auto payload = wire::encode_datagram(message);
  if (!socket_.is_open() || payload.size() > control::max_datagram_bytes) {
    increment(counters_.not_sent);
    return;
  }
  const wire::packet_route route{address_, format_gossip_address(to)};
  const auto packet = wire::seal_packet(key_, route, epoch_, ++sequence_, payload);
  asio::error_code error;
  socket_.send_to(asio::buffer(packet), to, 0, error);
  if (error) {
    increment(counters_.not_sent);
    return;
  }
  increment(counters_.sent);
  increment(counters_.sent_bytes, packet.size());
}

void udp_gossip_socket::stop() {
  asio::dispatch(executor_, [self = shared_from_this()] {
    asio::error_code ignored;
    self->socket_.close(ignored);
  });
}

} // namespace

absl::StatusOr<std::shared_ptr<gossip_socket>> gossip_socket::open(asio::io_context& context,
                                                                   const udp::endpoint& address,
                                                                   const peer_settings& settings,
                                                                   datagram_handler handler) {
  if (auto status = check_settings(settings); !status.ok()) {
    return status;
  }
  if (address.address().is_unspecified()) {
    return support::make_error(result_code::out_of_range,
                               "gossip address must not be the unspecified address");
  }
  if (settings.peer_key.empty()) {
    support::write_log(support::log_level::warning, "gossip",
                       "gossip datagrams are not authenticated: peer_key is empty");
  }
  auto socket = std::make_shared<udp_gossip_socket>(context, settings.peer_key, std::move(handler));
  if (auto status = socket->bind(address); !status.ok()) {
    return status;
  }
  socket->receive();
  return socket;
}

absl::StatusOr<udp::endpoint> parse_gossip_address(std::string_view text) {
  const auto address = parse_peer_address(text);
  if (!address.ok()) {
    return address.status();
  }
  return udp::endpoint(address->address(), address->port());
}

std::string format_gossip_address(const udp::endpoint& address) {
  const auto host = address.address().to_string();
  if (address.address().is_v6()) {
    return absl::StrCat("[", host, "]:", address.port());
  }
  return absl::StrCat(host, ":", address.port());
}

} // namespace acaciasill::net
