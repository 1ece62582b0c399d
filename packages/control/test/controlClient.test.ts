import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlClient } from "@clementinemux/control/ControlClient";
import { ControlError } from "@clementinemux/control/ControlError";
import { ControlErrorCode } from "@clementinemux/control/ControlErrorCode";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { RpcServer } from "@clementinemux/wire/RpcServer";

const change = { kind: ConfigChangeKind.UndrainTarget as const, target: "t1" };
const request = { author: "ann", requestId: "r1", baseRevision: 0, change };

async function listen(t: Tap, propose: MessageHandler): Promise<string> {
  const server = new RpcServer({ handlers: { propose } });
  t.teardown(() => server.close());
  return `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
}

interface Tap {
  teardown(action: () => Promise<void>): void;
}

function createClient(t: Tap, addresses: readonly string[]): ControlClient {
  const client = new ControlClient({ addresses, claimGroups: 1, clock: new SystemClock(), random: () => 0 });
  t.teardown(() => {
    client.close();
    return Promise.resolve();
  });
  return client;
}

// Guards against a client that gives up at a follower, or retries with another request id.
t.test("redirects and failures are followed with the same request", async (t) => {
  const seen: unknown[] = [];
  const leader = await listen(t, (body) => {
    seen.push(body);
    if (seen.length < 3) {
      throw new ControlError(ControlErrorCode.OutcomeUnknown, "leader changed");
    }
    return { outcome: "accepted", revision: 1 };
  });
  const follower = await listen(t, () => {
    throw new ControlError(ControlErrorCode.NotLeader, "follower", { leader });
  });
  const answer = await createClient(t, [follower]).propose(request, 5000);
  t.match(answer.extract(), { outcome: "accepted" });
  t.same(seen, [request, request, request]);
});

// Guards against a client that loops without a delay between two replicas that redirect to each other.
t.test("redirect loop ends at the deadline", async (t) => {
  let calls = 0;
  const addresses: string[] = [];
  for (const other of [1, 0]) {
    const address = await listen(t, () => {
      calls += 1;
      throw new ControlError(ControlErrorCode.NotLeader, "follower", { leader: addresses[other] ?? null });
    });
    addresses.push(address);
  }
  const answer = await createClient(t, addresses).propose(request, 400);
  t.match(answer.extract(), { code: ControlErrorCode.Deadline });
  t.ok(calls < 100, `${calls} calls`);
});

// Guards against retries of a request that the leader has rejected permanently.
t.test("rejections are final", async (t) => {
  let calls = 0;
  const address = await listen(t, () => {
    calls += 1;
    throw new ControlError(ControlErrorCode.Refused, "no");
  });
  t.match((await createClient(t, [address]).propose(request, 2000)).extract(), { code: "refused" });
  t.equal(calls, 1);
});
