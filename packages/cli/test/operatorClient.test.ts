import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { OperatorClient } from "@clementinemux/cli/OperatorClient";
import { askInTurn } from "@clementinemux/cli/askInTurn";
import { ExitCode } from "@clementinemux/cli/ExitCode";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";

interface SeenRequest {
  readonly requestId: string;
}

type Reply = (seen: readonly SeenRequest[]) => { status: number; body: unknown; location?: string } | null;

/** Starts a server that answers changes by a function; null drops the connection without an answer. */
async function startControl(seen: SeenRequest[], reply: Reply): Promise<{ server: Server; url: string }> {
  const server = createServer((request, response) => {
    let text = "";
    request.on("data", (chunk: Buffer) => (text += chunk.toString("utf8")));
    request.on("end", () => {
      seen.push(JSON.parse(text) as SeenRequest);
      const answer = reply(seen);
      if (answer === null) {
        response.destroy();
        return;
      }
      const headers = answer.location === undefined ? {} : { location: answer.location };
      response.writeHead(answer.status, headers).end(JSON.stringify(answer.body));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

const change = { kind: ConfigChangeKind.UndrainTarget, target: "runner-1" } as const;

function createClient(controlUrls: string[], timeoutMs = 5000): OperatorClient {
  return new OperatorClient({ controlUrls, token: "t", ca: null, timeoutMs });
}

// Guards against a lost answer that makes a change happen twice.
t.test("resend after a lost answer has the same request id", async (t) => {
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

// Guards against a command that stops at a follower or at a dead replica.
t.test("follows the leader past a dead replica", async (t) => {
  const leaderSeen: SeenRequest[] = [];
  const leader = await startControl(leaderSeen, () => ({ status: 200, body: { outcome: "accepted" } }));
  const follower = await startControl([], () => ({
    status: 421,
    body: {},
    location: `${leader.url}/v1/changes`,
  }));
  const client = createClient(["http://127.0.0.1:9", follower.url]);
  const answer = await client.propose("ana", 1, change, false);
  t.same(answer.body, { outcome: "accepted" });
  t.equal(leaderSeen.length, 1);
  await client.close();
  leader.server.close();
  follower.server.close();
});

// Guards against a command that waits for a stopped replica before it asks the next one, each time anew.
t.test("a silent replica costs one command a moment, and a change its request id only once", async (t) => {
  const silentSeen: SeenRequest[] = [];
  const silent = createServer((request) => {
    request.on("data", (chunk: Buffer) => silentSeen.push(JSON.parse(chunk.toString()) as SeenRequest));
  });
  await new Promise<void>((resolve) => silent.listen(0, "127.0.0.1", resolve));
  const seen: SeenRequest[] = [];
  const live = await startControl(seen, () => ({ status: 200, body: { outcome: "accepted" } }));
  t.teardown(() => {
    silent.closeAllConnections();
    silent.close();
    live.server.close();
  });
  const url = `http://127.0.0.1:${(silent.address() as AddressInfo).port}`;
  const client = createClient([url, live.url]);
  const startedAtMs = performance.now();
  await client.propose("ana", 1, change, false);
  const firstMs = performance.now() - startedAtMs;
  await client.propose("ana", 2, change, false);
  const secondMs = performance.now() - startedAtMs - firstMs;
  t.ok(firstMs < 3000, `first change after ${Math.round(firstMs)} ms`);
  t.ok(secondMs < 500, `second change after ${Math.round(secondMs)} ms`);
  t.equal(silentSeen.length, 1);
  t.equal(seen[0]?.requestId, silentSeen[0]?.requestId);
  t.not(seen[1]?.requestId, seen[0]?.requestId);
  await client.close();
});

// Guards against a second one that is asked although the first answers, and against answers that nobody waits for.
t.test("others are asked in turn, only when that is of use", async (t) => {
  const asked: number[] = [];
  let abandoned = 0;
  const never = (signal: AbortSignal): Promise<null> =>
    new Promise((resolve) => {
      signal.addEventListener("abort", () => {
        abandoned += 1;
        resolve(null);
      });
    });
  const answers = [never, () => Promise.resolve(null), () => Promise.resolve("third")];
  const ask = (index: number, signal: AbortSignal): Promise<string | null> => {
    asked.push(index);
    return answers[index]?.(signal) ?? Promise.resolve(null);
  };
  t.same(await askInTurn({ count: 3, silentMs: 20, ask }), { index: 2, value: "third" });
  t.same(asked, [0, 1, 2]);
  t.equal(abandoned, 1);
  const none = () => Promise.resolve(null);
  t.equal(await askInTurn({ count: 3, silentMs: 10_000, ask: none }), null);
  const startedAtMs = performance.now();
  t.same(await askInTurn({ count: 2, silentMs: 10_000, ask: (index) => Promise.resolve(index) }), {
    index: 0,
    value: 0,
  });
  t.ok(performance.now() - startedAtMs < 1000);
});

// Guards against a command that hangs, or reports success, when no replica answers.
t.test("unreachable control is an error of its own", async (t) => {
  const client = createClient(["http://127.0.0.1:9"], 300);
  await t.rejects(client.get("/v1/config"), {
    exitCode: ExitCode.Unreachable,
    message: /no answer from control/,
  });
  await client.close();
});
