#include "LibBench/proxy_bench.h"

#include "LibClient/caller_client.h"
#include "LibHttp/pooled_http_transport.h"
#include "LibHttp/server_sent_events.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace azurehaven::bench {

using nlohmann::json;

namespace {

constexpr http_timeouts StreamTimeouts{milliseconds(1000), milliseconds(60000)};
constexpr int Rounds = 3;

struct sample {
  double FirstTokenMs = 0;
  double TotalMs = 0;
  bool IsComplete = false;
};

double millisecondsSince(steady_time StartedAt) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - StartedAt)
      .count();
}

/// Sends a request and reads the response stream to its end.
sample readStream(http_transport &Transport, const network_address &Address,
                  const http_request &Request) {
  sample Sample;
  const steady_time StartedAt = std::chrono::steady_clock::now();
  auto Opened = Transport.open(Address, Request, StreamTimeouts);
  auto *Stream = std::get_if<std::unique_ptr<http_stream>>(&Opened);
  if (!Stream || (*Stream)->status() != 200)
    return Sample;
  event_stream_parser Parser;
  while (true) {
    auto Chunk = (*Stream)->next();
    auto *Bytes = std::get_if<std::optional<std::string>>(&Chunk);
    if (!Bytes || !*Bytes || !Parser.add(**Bytes))
      break;
    while (auto Data = Parser.next()) {
      if (Sample.FirstTokenMs == 0)
        Sample.FirstTokenMs = millisecondsSince(StartedAt);
      Sample.IsComplete |= *Data == "[DONE]";
    }
  }
  Sample.TotalMs = millisecondsSince(StartedAt);
  return Sample;
}

enum class route { Direct, ThroughEntry };

http_request requestFor(const proxy_bench_settings &Settings, route Route,
                        std::size_t Number) {
  http_request Request{"POST", "/v1/chat/completions", {}, {}};
  Request.Headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + Settings.Key},
                     {"X-Work-Class", Settings.Class},
                     {"X-Request-Id", "bench-" + std::to_string(Number)}};
  json Body = {
      {"messages",
       {{{"role", "user"}, {"content", "question " + std::to_string(Number)}}}},
      {"stream", true}};
  if (Route == route::Direct)
    Body["model"] = Settings.Version;
  Request.Body = Body.dump();
  return Request;
}

std::vector<sample> runRound(const proxy_bench_settings &Settings, route Route,
                             std::size_t Concurrency, std::size_t FirstNumber) {
  pooled_http_transport Transport;
  const network_address &Address =
      Route == route::Direct ? Settings.Engine : Settings.Entry;
  const std::size_t Count = std::max(
      Concurrency * 2, std::min<std::size_t>(Settings.MaximumRequestsPerRound,
                                             Concurrency * 20));
  std::atomic<std::size_t> Next = 0;
  std::mutex Mutex;
  std::vector<sample> Samples;
  std::vector<std::thread> Callers;
  for (std::size_t Caller = 0; Caller < Concurrency; ++Caller)
    Callers.emplace_back([&] {
      for (std::size_t Number = Next++; Number < Count; Number = Next++) {
        const sample Sample =
            readStream(Transport, Address,
                       requestFor(Settings, Route, FirstNumber + Number));
        std::lock_guard Lock(Mutex);
        Samples.push_back(Sample);
      }
    });
  for (auto &Caller : Callers)
    Caller.join();
  return Samples;
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Fraction * static_cast<double>(Values.size() - 1))];
}

json summarize(const std::vector<sample> &Samples) {
  std::vector<double> FirstTokens;
  std::vector<double> TotalTimes;
  std::size_t Failed = 0;
  for (const auto &Sample : Samples) {
    if (!Sample.IsComplete) {
      ++Failed;
      continue;
    }
    FirstTokens.push_back(Sample.FirstTokenMs);
    TotalTimes.push_back(Sample.TotalMs);
  }
  return {{"first_p50", quantile(FirstTokens, 0.5)},
          {"first_p99", quantile(FirstTokens, 0.99)},
          {"whole_p50", quantile(TotalTimes, 0.5)},
          {"whole_p99", quantile(TotalTimes, 0.99)},
          {"requests", Samples.size()},
          {"failed", Failed}};
}

} // namespace

json runProxyBench(const proxy_bench_settings &Settings) {
  json Results = json::array();
  std::size_t FirstNumber = 0;
  for (std::size_t Concurrency : Settings.Concurrencies) {
    std::vector<sample> Direct;
    std::vector<sample> ThroughEntry;
    // The rounds alternate, so that a drift of the machine's speed affects both
    // routes.
    for (int Round = 0; Round < Rounds; ++Round) {
      for (route Route : {route::Direct, route::ThroughEntry}) {
        auto Samples = runRound(Settings, Route, Concurrency, FirstNumber);
        FirstNumber += Samples.size();
        auto &Target = Route == route::Direct ? Direct : ThroughEntry;
        Target.insert(Target.end(), Samples.begin(), Samples.end());
      }
    }
    const json DirectSummary = summarize(Direct);
    const json ThroughSummary = summarize(ThroughEntry);
    json Added = json::object();
    for (const char *Name :
         {"first_p50", "first_p99", "whole_p50", "whole_p99"})
      Added[Name] = ThroughSummary[Name].get<double>() -
                    DirectSummary[Name].get<double>();
    Results.push_back({{"concurrency", Concurrency},
                       {"direct_ms", DirectSummary},
                       {"through_entry_ms", ThroughSummary},
                       {"added_ms", Added}});
  }
  return Results;
}

} // namespace azurehaven::bench
