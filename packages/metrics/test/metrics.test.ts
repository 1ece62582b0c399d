import type { AddressInfo } from "node:net";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createLogger } from "@clementinemux/logging/createLogger";
import { MetricsEndpoint } from "@clementinemux/metrics/MetricsEndpoint";
import { TimeHistogram } from "@clementinemux/metrics/TimeHistogram";
import { renderGauges } from "@clementinemux/metrics/renderGauges";
import { serveMetrics } from "@clementinemux/metrics/serveMetrics";
import { waitUntil } from "@clementinemux/system/waitUntil";

// Guards against buckets that are not cumulative, which scrapers reject.
t.test("buckets are cumulative and the last counts all durations", (t) => {
  const histogram = new TimeHistogram("x_seconds");
  for (const durationMs of [0.4, 1, 99, 120, 1e9]) {
    histogram.observeMs(durationMs);
  }
  const text = histogram.render();
  t.match(text, 'x_seconds_bucket{le="0.001"} 2\n');
  t.match(text, 'x_seconds_bucket{le="0.12"} 4\n');
  t.match(text, 'x_seconds_bucket{le="+Inf"} 5\n');
  t.match(text, "x_seconds_count 5\n");
  t.end();
});

t.test("gauges without a value are omitted", (t) => {
  const text = renderGauges({ a: 1, b: null, c: Infinity });
  t.equal(text, "# TYPE a gauge\na 1\n# TYPE c gauge\nc +Inf\n");
  t.end();
});

t.test("metrics are served only on their path", async (t) => {
  const server = await serveMetrics({ host: "127.0.0.1", port: 0, render: () => "a 1\n" });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const response = await fetch(`http://127.0.0.1:${port}/metrics`);
  t.equal(await response.text(), "a 1\n");
  t.equal((await fetch(`http://127.0.0.1:${port}/other`)).status, 404);
});

// Guards against a process that ends because another one has its metrics port.
t.test("metrics are served once their port is free", async (t) => {
  const host = "127.0.0.1";
  const other = await serveMetrics({ host, port: 0, render: () => "other 1\n" });
  const { port } = other.address() as AddressInfo;
  const logger = createLogger("test", {});
  const clock = new SystemClock();
  const endpoint = new MetricsEndpoint({ role: "test", host, port, clock, logger, render: () => "own 1\n" });
  await endpoint.start();
  t.teardown(() => {
    endpoint.stop();
  });
  const read = async (): Promise<string> =>
    (await fetch(`http://${host}:${port}/metrics`, { headers: { connection: "close" } })).text();
  t.match(await read(), "other 1");
  other.close();
  await waitUntil("own metrics", () =>
    read().then(
      (text) => (text.includes("own 1") ? true : null),
      () => null,
    ),
  );
});
