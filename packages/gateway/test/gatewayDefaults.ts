import { SystemClock } from "@clementinemux/common/SystemClock";
import type { GatewayOptions } from "@clementinemux/gateway/GatewayOptions";
import { QueueMode } from "@clementinemux/gateway/QueueMode";
import { TargetChoiceKind } from "@clementinemux/gateway/TargetChoiceKind";
import { createLogger } from "@clementinemux/logging/createLogger";

/** Options that the gateways of the tests share. */
export const gatewayDefaults = {
  host: "127.0.0.1",
  readyPath: "/ready",
  failureDomain: "a",
  repeatRatio: 0.2,
  repeatSlack: 100,
  repeatWindowMs: 10_000,
  graceMs: 4000,
  metricsPort: null,
  maxHoldMs: 80,
  minStallTimeoutMs: 400,
  maxHeldBytes: 8_388_608,
  maxInFlight: 100,
  queueMode: QueueMode.Auto,
  targetChoice: TargetChoiceKind.Auto,
  clock: new SystemClock(),
  leaseClock: new SystemClock(),
  logger: createLogger("test", {}),
} satisfies Partial<GatewayOptions>;
