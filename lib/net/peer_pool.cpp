#include "acaciasill/net/peer_pool.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "peer_calls.h"

namespace acaciasill::net {
namespace {

// Answers a call for which the pool has no link.
void refuse(asio::io_context& context, const wire::call_request& request, reply_callback callback) {
  auto reply = made_reply(wire::outcome::not_run, support::result_code::peer_backlog);
  reply.id = request.id;
  asio::post(context, [callback = std::move(callback), reply = std::move(reply)]() mutable {
    callback(std::move(reply));
  });
}

bool is_idle(const peer_link& link) {
  return link.counters().in_flight.load(std::memory_order_relaxed) == 0;
}

} // namespace

peer_pool::peer_pool(const std::vector<asio::io_context*>& contexts, peer_settings settings)
    : settings_(std::move(settings)) {
  for (auto* context : contexts) {
    shards_.push_back(std::make_unique<shard>());
    shards_.back()->context = context;
  }
}

peer_pool::~peer_pool() {
  stop();
}

peer_pool::shard& peer_pool::shard_of_this_thread() {
  for (const auto& candidate : shards_) {
    if (candidate->context->get_executor().running_in_this_thread()) {
      return *candidate;
    }
  }
  return *shards_[turn_.fetch_add(1, std::memory_order_relaxed) % shards_.size()];
}

call_handle peer_pool::send_call(const peer_address& peer, wire::call_request request,
                                 support::time_point deadline, reply_callback callback) {
  auto& home = shard_of_this_thread();
  const auto link = link_for(home, peer);
  if (!link) {
    refuse(*home.context, request, std::move(callback));
    return {};
  }
  const auto correlation = link->send_call(std::move(request), deadline, std::move(callback));
  return {link, correlation};
}

std::shared_ptr<peer_link> peer_pool::link_for(shard& home, const peer_address& peer) {
  const std::lock_guard lock(home.mutex);
  const auto entry = home.links.find(peer);
  const std::size_t held = entry == home.links.end() ? 0 : entry->second.size();
  if (held >= settings_.links_per_peer) {
    return entry->second[home.turn++ % held];
  }
  const std::size_t max_links = std::max<std::size_t>(settings_.max_links / shards_.size(), 1);
  if (home.link_count >= max_links && held > 0) {
    return entry->second[home.turn++ % held];
  }
  if (home.link_count >= max_links && !drop_idle_link(home)) {
    return nullptr;
  }
  ++home.link_count;
  auto& links = home.links[peer];
  links.push_back(peer_link::create(*home.context, peer, settings_));
  return links.back();
}

bool peer_pool::drop_idle_link(shard& home) {
  auto oldest_entry = home.links.end();
  std::size_t oldest = 0;
  for (auto entry = home.links.begin(); entry != home.links.end(); ++entry) {
    for (std::size_t index = 0; index < entry->second.size(); ++index) {
      const auto& link = *entry->second[index];
      const bool is_older = oldest_entry == home.links.end() ||
                            link.last_used() < oldest_entry->second[oldest]->last_used();
      if (is_idle(link) && is_older) {
        oldest_entry = entry;
        oldest = index;
      }
    }
  }
  if (oldest_entry == home.links.end()) {
    return false;
  }
  auto& links = oldest_entry->second;
  links[oldest]->retire();
  links.erase(links.begin() + static_cast<std::ptrdiff_t>(oldest));
  if (links.empty()) {
    home.links.erase(oldest_entry);
  }
  --home.link_count;
  return true;
}

void peer_pool::cancel(const call_handle& handle) {
  if (const auto link = handle.link.lock()) {
    link->cancel(handle.correlation);
  }
}

void peer_pool::forget(const peer_address& peer) {
  for (const auto& home : shards_) {
    const std::lock_guard lock(home->mutex);
    const auto entry = home->links.find(peer);
    if (entry == home->links.end()) {
      continue;
    }
    for (const auto& link : entry->second) {
      link->retire();
    }
    home->link_count -= entry->second.size();
    home->links.erase(entry);
  }
}

void peer_pool::stop() {
  for (const auto& home : shards_) {
    const std::lock_guard lock(home->mutex);
    for (const auto& [peer, links] : home->links) {
      for (const auto& link : links) {
        link->stop();
      }
    }
    home->links.clear();
    home->link_count = 0;
  }
}

std::size_t peer_pool::size() const {
  std::size_t count = 0;
  for (const auto& home : shards_) {
    const std::lock_guard lock(home->mutex);
    count += home->link_count;
  }
  return count;
}

std::uint64_t peer_pool::in_flight() const {
  std::uint64_t count = 0;
  for (const auto& home : shards_) {
    const std::lock_guard lock(home->mutex);
    for (const auto& [peer, links] : home->links) {
      for (const auto& link : links) {
        count += link->counters().in_flight.load(std::memory_order_relaxed);
      }
    }
  }
  return count;
}

} // namespace acaciasill::net
