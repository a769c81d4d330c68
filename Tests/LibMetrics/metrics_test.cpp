#include "LibMetrics/metrics.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("counters and durations are rendered as Prometheus text") {
  metrics Metrics;
  Metrics.increment("requests_total", "code=\"busy\"");
  Metrics.increment("requests_total", "code=\"busy\"", 2);
  for (int Value = 1; Value <= 100; ++Value)
    Metrics.observe("answer_ms", "class=\"c\"", milliseconds(Value));
  const std::string Text = Metrics.render();
  CHECK(Text.find("requests_total{code=\"busy\"} 3\n") != std::string::npos);
  CHECK(Text.find("answer_ms{class=\"c\",quantile=\"0.95\"}") !=
        std::string::npos);
  CHECK(Text.find("answer_ms_count{class=\"c\"} 100\n") != std::string::npos);
  CHECK(Text.find("answer_ms_sum{class=\"c\"} 5050\n") != std::string::npos);
  CHECK(Text.find("answer_ms_bucket{class=\"c\",le=\"50\"} 50\n") !=
        std::string::npos);
  CHECK(Text.find("answer_ms_bucket{class=\"c\",le=\"+Inf\"} 100\n") !=
        std::string::npos);
}
