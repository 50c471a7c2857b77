#include "acaciasill/net/peer_pool.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "peer_calls.h"

namespace acaciasill::net {
namespace {

// Refuses a call for which the pool has no link.
void refuse(asio::io_context& context, const wire::call_request& request, reply_callback callback) {
  auto reply = make_local_reply(wire::outcome::not_run, support::result_code::peer_backlog);
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

peer_pool::shard& peer_pool::shard_for_current_thread() {
  for (const auto& candidate : shards_) {
    if (candidate->context->get_executor().running_in_this_thread()) {
      return *candidate;
    }
  }
  return *shards_[next_shard_.fetch_add(1, std::memory_order_relaxed) % shards_.size()];
}

call_handle peer_pool::send_call(const peer_address& peer, wire::call_request request,
                                 support::time_point deadline, reply_callback callback) {
  auto& local_shard = shard_for_current_thread();
  const auto link = find_or_create_link(local_shard, peer);
  if (!link) {
    refuse(*local_shard.context, request, std::move(callback));
    return {};
  }
  const auto correlation = link->send_call(std::move(request), deadline, std::move(callback));
  return {link, correlation};
}

std::shared_ptr<peer_link> peer_pool::find_or_create_link(shard& local_shard,
                                                          const peer_address& peer) {
  const std::lock_guard lock(local_shard.mutex);
  const auto entry = local_shard.links.find(peer);
  const std::size_t existing = entry == local_shard.links.end() ? 0 : entry->second.size();
  if (existing >= settings_.links_per_peer) {
    return entry->second[local_shard.next_link++ % existing];
  }
  const std::size_t max_links = std::max<std::size_t>(settings_.max_links / shards_.size(), 1);
  if (local_shard.link_count >= max_links && existing > 0) {
    return entry->second[local_shard.next_link++ % existing];
  }
  if (local_shard.link_count >= max_links && !evict_idle_link(local_shard)) {
    return nullptr;
  }
  ++local_shard.link_count;
  auto& links = local_shard.links[peer];
  links.push_back(peer_link::create(*local_shard.context, peer, settings_));
  return links.back();
}

bool peer_pool::evict_idle_link(shard& local_shard) {
  auto oldest_entry = local_shard.links.end();
  std::size_t oldest = 0;
  for (auto entry = local_shard.links.begin(); entry != local_shard.links.end(); ++entry) {
    for (std::size_t index = 0; index < entry->second.size(); ++index) {
      const auto& link = *entry->second[index];
      const bool is_older = oldest_entry == local_shard.links.end() ||
                            link.last_used() < oldest_entry->second[oldest]->last_used();
      if (is_idle(link) && is_older) {
        oldest_entry = entry;
        oldest = index;
      }
    }
  }
  if (oldest_entry == local_shard.links.end()) {
    return false;
  }
  auto& links = oldest_entry->second;
  links[oldest]->retire();
  links.erase(links.begin() + static_cast<std::ptrdiff_t>(oldest));
  if (links.empty()) {
    local_shard.links.erase(oldest_entry);
  }
  --local_shard.link_count;
  return true;
}

void peer_pool::cancel(const call_handle& handle) {
  if (const auto link = handle.link.lock()) {
    link->cancel(handle.correlation);
  }
}

void peer_pool::remove_peer(const peer_address& peer) {
  for (const auto& current_shard : shards_) {
    const std::lock_guard lock(current_shard->mutex);
    const auto entry = current_shard->links.find(peer);
    if (entry == current_shard->links.end()) {
      continue;
    }
    for (const auto& link : entry->second) {
      link->retire();
    }
    current_shard->link_count -= entry->second.size();
    current_shard->links.erase(entry);
  }
}

void peer_pool::stop() {
  for (const auto& current_shard : shards_) {
    const std::lock_guard lock(current_shard->mutex);
    for (const auto& [peer, links] : current_shard->links) {
      for (const auto& link : links) {
        link->stop();
      }
    }
    current_shard->links.clear();
    current_shard->link_count = 0;
  }
}

std::size_t peer_pool::size() const {
  std::size_t count = 0;
  for (const auto& current_shard : shards_) {
    const std::lock_guard lock(current_shard->mutex);
    count += current_shard->link_count;
  }
  return count;
}

std::uint64_t peer_pool::in_flight() const {
  std::uint64_t count = 0;
  for (const auto& current_shard : shards_) {
    const std::lock_guard lock(current_shard->mutex);
    for (const auto& [peer, links] : current_shard->links) {
      for (const auto& link : links) {
        count += link->counters().in_flight.load(std::memory_order_relaxed);
      }
    }
  }
  return count;
}

} // namespace acaciasill::net
