import t from "tap";
import { CrashFeed } from "@clementinemux/control/routes/CrashFeed";
import { PeerTable } from "@clementinemux/control/routes/PeerTable";
import { SyncService } from "@clementinemux/control/routes/SyncService";
import { createLogger } from "@clementinemux/logging/createLogger";
import { EntryRegistry } from "@clementinemux/registry/EntryRegistry";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import { SlowdownTable } from "@clementinemux/registry/SlowdownTable";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { createSyncRequest } from "./createSyncRequest";

const lateTimerMs = 60;

// Guards against responses that come after the gateways' timeout of 350 ms, because each timer of the wait is late.
t.test("a report waits no longer when timers are late", async (t) => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const logger = createLogger("test", {});
  const address = "c:1";
  const identity = { address, failureDomain: "d-0", incarnation: "1" };
  const crashes = new CrashFeed({
    ...{ incarnation: "1", clock, logger, dataFolder: null },
    onChanged: () => undefined,
  });
  const service = new SyncService({
    ...identity,
    targets: new TargetRegistry(),
    listEnded: () => [],
    listUnregistered: () => [],
    entries: new EntryRegistry(),
    slowdowns: new SlowdownTable(),
    crashes,
    limits: new LimitTable(),
    peers: new PeerTable(address),
    getDocument: () => ({ version: 0, bytes: new Uint8Array() }),
    getEvacuated: () => ({ revision: 0, failureDomains: [] }),
    getAgeMs: () => {
      nowMs += lateTimerMs;
      return null;
    },
    isComplete: () => false,
    clock,
    logger,
  });
  const { ageMs } = await service.sync(createSyncRequest());
  t.equal(ageMs, null);
  t.ok(nowMs >= 150 && nowMs < 350, `response after ${nowMs} ms`);
  crashes.close();
});
