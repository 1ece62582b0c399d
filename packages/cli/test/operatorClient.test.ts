import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { OperatorClient } from "@clementinemux/cli/OperatorClient";
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

// Guards against a command that hangs, or reports success, when no replica answers.
t.test("unreachable control is an error of its own", async (t) => {
  const client = createClient(["http://127.0.0.1:9"], 300);
  await t.rejects(client.get("/v1/config"), {
    exitCode: ExitCode.Unreachable,
    message: /no answer from control/,
  });
  await client.close();
});
