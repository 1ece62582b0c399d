import { PlainCodec } from "@clementinemux/bench/gateway/PlainCodec";
import { GatewayBenchSettings } from "@clementinemux/bench/gateway/GatewayBenchSettings";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { QueueMode } from "@clementinemux/gateway/QueueMode";
import { Gateway } from "@clementinemux/gateway/Gateway";
import { TargetChoiceKind } from "@clementinemux/gateway/TargetChoiceKind";
import { createLogger } from "@clementinemux/logging/createLogger";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

// Gateway for benchmarks: has a plain codec, without the headers of a platform.
startFromSettings("bench-gateway-process", GatewayBenchSettings, async (settings) => {
  const { host, callerPort, readyPort, coordinatorPort, maxHoldMs } = settings;
  const clock = new SystemClock();
  await new Gateway({
    name: "gateway-1",
    host,
    callerPort,
    readyPort,
    readyPath: "/ready",
    metricsPort: null,
    failureDomain: "a",
    seeds: [`${host}:${coordinatorPort}`],
    repeatRatio: 0.2,
    repeatSlack: 100,
    repeatWindowMs: 10_000,
    graceMs: 4000,
    maxHoldMs,
    minStallTimeoutMs: 10_000,
    maxHeldBytes: 50_331_648,
    maxInFlight: 1000,
    queueMode: QueueMode.Auto,
    targetChoice: TargetChoiceKind.Auto,
    codec: new PlainCodec(),
    clock,
    leaseClock: clock,
    random: createRandom(1),
    logger: createLogger("bench-gateway", {}),
  }).start();
});
