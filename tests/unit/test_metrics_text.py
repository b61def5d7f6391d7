"""The metrics in the text format of Prometheus."""

import pytest

from verbenanotch.telemetry import MetricsInterface, metrics


@pytest.fixture
def scrape():
    def get(path="/metrics"):
        statuses = []
        chunks = MetricsInterface().application(
            {"PATH_INFO": path}, lambda status, _: statuses.append(status)
        )
        return statuses[0], b"".join(chunks).decode()

    return get


def test_counters_and_histograms_are_served(scrape):
    metrics.increment("test.refused.target-full", 3)
    for milliseconds in (0.4, 3.0, 9999.0):
        metrics.timing("test.wait_ms", milliseconds)
    status, text = scrape()
    assert status == "200 OK"
    assert "verbenanotch_test_refused_target_full_total 3.0" in text
    name = "verbenanotch_test_wait_ms_distribution"
    assert f'{name}_bucket{{le="4.0"}} 2.0' in text
    assert f'{name}_bucket{{le="+Inf"}} 3.0' in text
    assert f"{name}_count 3.0" in text


def test_other_paths_are_not_found(scrape):
    assert scrape("/")[0] == "404 Not Found"
