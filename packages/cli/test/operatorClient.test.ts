import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { OperatorClient } from "@clementinemux/cli/OperatorClient";
import { sendHedged } from "@clementinemux/cli/sendHedged";
import { ExitCode } from "@clementinemux/cli/ExitCode";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import { EndlessTarget } from "../../wire/test/helpers/EndlessTarget";
import { endlessResponses } from "../../wire/test/helpers/endlessResponses";

interface SeenRequest {
  readonly requestId: string;
}

type Respond = (seen: readonly SeenRequest[]) => { status: number; body: unknown; location?: string } | null;

/** Starts a server whose responses come from a function; null closes the connection without a response. */
async function startControl(seen: SeenRequest[], respond: Respond): Promise<{ server: Server; url: string }> {
  const server = createServer((request, response) => {
    let text = "";
    request.on("data", (chunk: Buffer) => (text += chunk.toString("utf8")));
    request.on("end", () => {
      seen.push(JSON.parse(text) as SeenRequest);
      const reply = respond(seen);
      if (reply === null) {
        response.destroy();
        return;
      }
      const headers = reply.location === undefined ? {} : { location: reply.location };
      response.writeHead(reply.status, headers).end(JSON.stringify(reply.body));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

const change = { kind: ConfigChangeKind.UndrainTarget, target: "runner-1" } as const;

function createClient(controlUrls: string[], timeoutMs = 5000): OperatorClient {
  return new OperatorClient({ controlUrls, token: "t", ca: null, timeoutMs });
}

// Guards against a change that is applied twice because its response was lost.
t.test("a retry after a lost response has the same request id", async (t) => {
  const seen: SeenRequest[] = [];
  const { server, url } = await startControl(seen, (all) =>
    all.length < 3 ? null : { status: 200, body: {} },
  );
  const client = createClient([url]);
  await client.propose("ana", 1, change, false);
  t.equal(seen.length, 3);
  t.equal(new Set(seen.map(({ requestId }) => requestId)).size, 1);
  await client.close();
  server.close();
});

// Guards against a command that fails because the first replica is down or a follower.
t.test("follows the leader past a dead replica", async (t) => {
  const leaderSeen: SeenRequest[] = [];
  const leader = await startControl(leaderSeen, () => ({ status: 200, body: { outcome: "accepted" } }));
  const follower = await startControl([], () => ({
    status: 421,
    body: {},
    location: `${leader.url}/v1/changes`,
  }));
  const client = createClient(["http://127.0.0.1:9", follower.url]);
  const response = await client.propose("ana", 1, change, false);
  t.same(response.body, { outcome: "accepted" });
  t.equal(leaderSeen.length, 1);
  await client.close();
  leader.server.close();
  follower.server.close();
});

// Guards against commands that each wait for a stalled replica before they try the next one.
t.test("an unresponsive replica delays one command only, and each change has one request id", async (t) => {
  const stalledSeen: SeenRequest[] = [];
  const stalled = createServer((request) => {
    request.on("data", (chunk: Buffer) => stalledSeen.push(JSON.parse(chunk.toString()) as SeenRequest));
  });
  await new Promise<void>((resolve) => stalled.listen(0, "127.0.0.1", resolve));
  const seen: SeenRequest[] = [];
  const live = await startControl(seen, () => ({ status: 200, body: { outcome: "accepted" } }));
  t.teardown(() => {
    stalled.closeAllConnections();
    stalled.close();
    live.server.close();
  });
  const url = `http://127.0.0.1:${(stalled.address() as AddressInfo).port}`;
  const client = createClient([url, live.url]);
  const startedAtMs = performance.now();
  await client.propose("ana", 1, change, false);
  const firstMs = performance.now() - startedAtMs;
  await client.propose("ana", 2, change, false);
  const secondMs = performance.now() - startedAtMs - firstMs;
  t.ok(firstMs < 3000, `first change after ${Math.round(firstMs)} ms`);
  t.ok(secondMs < 500, `second change after ${Math.round(secondMs)} ms`);
  t.equal(stalledSeen.length, 1);
  t.equal(seen[0]?.requestId, stalledSeen[0]?.requestId);
  t.not(seen[1]?.requestId, seen[0]?.requestId);
  await client.close();
});

// Guards against a hedge that is sent although the first destination responds, and against requests left
// running.
t.test("hedged requests are sent in order and only when needed", async (t) => {
  const sent: number[] = [];
  let abandoned = 0;
  const never = (signal: AbortSignal): Promise<null> =>
    new Promise((resolve) => {
      signal.addEventListener("abort", () => {
        abandoned += 1;
        resolve(null);
      });
    });
  const responses = [never, () => Promise.resolve(null), () => Promise.resolve("third")];
  const send = (index: number, signal: AbortSignal): Promise<string | null> => {
    sent.push(index);
    return responses[index]?.(signal) ?? Promise.resolve(null);
  };
  t.same(await sendHedged({ count: 3, hedgeDelayMs: 20, send }), { index: 2, value: "third" });
  t.same(sent, [0, 1, 2]);
  t.equal(abandoned, 1);
  const none = () => Promise.resolve(null);
  t.equal(await sendHedged({ count: 3, hedgeDelayMs: 10_000, send: none }), null);
  const startedAtMs = performance.now();
  t.same(await sendHedged({ count: 2, hedgeDelayMs: 10_000, send: (index) => Promise.resolve(index) }), {
    index: 0,
    value: 0,
  });
  t.ok(performance.now() - startedAtMs < 1000);
});

// Guards against a command that hangs or reports success when no replica responds.
t.test("unreachable control has its own exit code", async (t) => {
  const client = createClient(["http://127.0.0.1:9"], 300);
  await t.rejects(client.get("/v1/config"), {
    exitCode: ExitCode.Unreachable,
    message: /no answer from control/,
  });
  await client.close();
});

for (const name of ["a body without length", "a body in chunks of one byte", "a chunk size"] as const) {
  // Guards against a command that a faulty replica keeps from ending, or whose memory it exhausts.
  t.test(`endless response: ${name}`, async (t) => {
    const { first, full } = endlessResponses[name];
    const target = new EndlessTarget({ first: () => first(""), more: full, writeIntervalMs: 0 });
    const client = createClient([`http://127.0.0.1:${await target.listen()}`], 500);
    t.teardown(async () => {
      target.close();
      await client.close();
    });
    const startedMs = performance.now();
    await t.rejects(client.get("/v1/config"), /no answer from control/);
    t.ok(performance.now() - startedMs < 5000);
  });
}
