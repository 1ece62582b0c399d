import t from "tap";
import { RelayService } from "@clementinemux/membership/RelayService";
import { FailureDetectorEvent } from "@clementinemux/membership/FailureDetectorEvent";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { createAnnouncement } from "./createAnnouncement";

/**
 * Creates two relays in different failure domains, the first a client of the second, with a clock set by the
 * test.
 */
async function createRelays(reach: (target: string) => boolean) {
  const time = { nowMs: 1000 };
  const clock = { monotonicMs: () => time.nowMs, wallMs: () => time.nowMs };
  const probe = ({ target }: { target: string }): Promise<boolean> => Promise.resolve(reach(target));
  const create = (name: string, failureDomain: string, peers: string[]): RelayService =>
    new RelayService({ name, failureDomain, peers, clock, random: () => 0.5, probe });
  const second = create("relay-2", "fd-2", []);
  const server = new RpcServer({ handlers: second.handlers });
  const port = await server.listen("127.0.0.1", 0);
  const first = create("relay-1", "fd-1", [`127.0.0.1:${port}`]);
  const close = async (): Promise<void> => {
    first.stop();
    second.stop();
    await server.close();
  };
  return { time, first, second, close };
}

const settle = (): Promise<unknown> => new Promise((resolve) => setTimeout(resolve, 30));

// Guards against a target that is removed without a second observer, or not removed although one confirms the
// failure.
t.test("second relay confirms a removal", async (t) => {
  const { time, first, second, close } = await createRelays((target) => target !== "r-0");
  for (let index = 0; index < 8; index += 1) {
    await first.handlers.announce!(createAnnouncement(`r-${index}`, "1"), "test");
  }
  for (let turn = 0; turn < 16; turn += 1) {
    time.nowMs += 250;
    for (let index = 1; index < 8; index += 1) {
      await first.handlers.heartbeat!({ target: `r-${index}`, incarnation: "1" }, "test");
    }
    first.tick(time.nowMs);
    await settle();
  }
  t.equal(first.directory.targets().length, 7);
  t.equal(first.counters.get(FailureDetectorEvent.Removed), 1);
  t.equal(second.counters.get(FailureDetectorEvent.Removed), 0);
  await close();
});

// Guards against changes that do not reach the other relays.
t.test("relays exchange their directories", async (t) => {
  const { first, second, close } = await createRelays(() => true);
  await second.handlers.announce!(createAnnouncement("r-0", "1"), "test");
  await first.syncNext();
  t.equal(first.directory.targets().length, 1);
  t.same(await first.handlers.fetchTargets!({}, "test"), [createAnnouncement("r-0", "1")]);
  await close();
});

// Guards against a dead target that stays listed because its relay died, too.
t.test("orphaned targets are checked by other relays", async (t) => {
  const { time, first, second, close } = await createRelays(() => false);
  await second.handlers.announce!(createAnnouncement("r-0", "1"), "test");
  await first.syncNext();
  for (let turn = 0; turn < 200; turn += 1) {
    time.nowMs += 250;
    first.tick(time.nowMs);
  }
  await settle();
  t.ok(first.counters.get(FailureDetectorEvent.HeartbeatMissed) > 0);
  await close();
});
