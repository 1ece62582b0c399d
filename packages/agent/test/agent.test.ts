import { connect } from "node:net";
import { request as requestHttp } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { AgentRefusal } from "@clementinemux/agent/AgentRefusal";
import { headerNames } from "@clementinemux/common/headerNames";
import { RelayService } from "@clementinemux/membership/RelayService";
import { FaultyProxy } from "@clementinemux/wire/test/helpers/FaultyProxy";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { createAgentFleet } from "./helpers/createAgentFleet";
import { createRenewal } from "./helpers/createRenewal";

const loadReport = { lagMs: 400, runningCount: 3, queuedCount: 1, kvFreeShare: 0.5, batchLimitCount: 8 };

function respondToAll(request: IncomingMessage, response: ServerResponse): void {
  request.resume();
  response.end(request.url === "/engine/load" ? JSON.stringify(loadReport) : `ran ${request.url ?? ""}`);
}

// Guards against entries that route by load of unknown age, or can't distinguish responses of the agent and
// target.
t.test("state, echoed headers and refusals", async (t) => {
  const fleet = await createAgentFleet(respondToAll, { group: "g-1", rank: 3 });
  await fleet.waitUntilAccepting();
  while ((await fleet.fetchState()).load === null) {
    await delay(10);
  }
  const state = await fleet.fetchState();
  t.match(state, { revision: 0, reason: null, group: { name: "g-1", rank: 3 }, load: { runningCount: 3 } });
  t.ok((state.load?.ageMs ?? 0) >= 400);
  const accepted = await fleet.send("/v1/x", { [headerNames.attemptId]: "a-1" });
  t.match(accepted, { status: 200, text: "ran /v1/x", headers: { [headerNames.attemptId]: "a-1" } });
  t.equal(accepted.headers[headerNames.revision], "0");
  t.equal(accepted.headers[headerNames.refusedBy], undefined);
  const repeated = await fleet.send("/v1/x", { [headerNames.attemptId]: "a-1" });
  t.match(repeated, { status: 503, headers: { [headerNames.refusedBy]: "agent" } });
  t.match(JSON.parse(repeated.text), { outcome: "not_run", reason: AgentRefusal.AttemptRepeated });
  t.ok(repeated.headers[headerNames.stamp]);
  t.equal(fleet.agent.counters.get(AgentRefusal.AttemptRepeated), 1);
  await fleet.close();
});

// Guards against a drained target that accepts requests. A newer revision in a request triggers the renewal
// that fetches the drain.
t.test("drained agent rejects requests", async (t) => {
  const fleet = await createAgentFleet(respondToAll);
  const { stamp } = await fleet.waitUntilAccepting();
  fleet.control.revision = 1;
  while ((await fleet.fetchState()).accepting) {
    await fleet.send("/v1/x", { [headerNames.revision]: "1" });
  }
  const refused = await fleet.send("/v1/x", { [headerNames.stamp]: stamp });
  t.match(JSON.parse(refused.text), { outcome: "not_run", reason: AgentRefusal.TargetDrained });
  t.equal(refused.headers[headerNames.revision], "1");
  await fleet.close();
});

// Guards against two processes that both accept requests for the same target.
t.test("superseded process rejects requests", async (t) => {
  const fleet = await createAgentFleet(respondToAll);
  await fleet.waitUntilAccepting();
  const [announced] = fleet.relay.directory.targets();
  fleet.relay.directory.announceTarget({ ...announced!, incarnation: "99999999999999-aa" }, false, 0);
  while ((await fleet.fetchState()).accepting) {
    await delay(10);
  }
  t.equal((await fleet.fetchState()).reason, AgentRefusal.Superseded);
  await fleet.close();
});

// Guards against a call of a non-repeatable service that is retried after its connection was lost (I4).
t.test("non-repeatable call is sent once", async (t) => {
  let runCount = 0;
  const fleet = await createAgentFleet(
    (request, response) => {
      if (request.url === "/engine/load") {
        response.writeHead(404).end();
        return;
      }
      runCount += 1;
      request.resume();
      // Closes the connection after the call was read, without a response.
      request.on("end", () => request.socket.destroy());
    },
    { kind: "service", service: "pay" },
  );
  await fleet.waitUntilAccepting();
  for (let callNumber = 1; callNumber <= 3; callNumber += 1) {
    const response = await fleet.send("/pay");
    t.match(JSON.parse(response.text), { outcome: "unknown" });
    t.equal(response.headers[headerNames.refusedBy], undefined);
    t.equal(runCount, callNumber);
  }
  await fleet.close();
});

// Guards against requests to a dead target whose outcome is reported as unknown, so that they can't be
// retried.
t.test("request to a dead target is reported as not run", async (t) => {
  const fleet = await createAgentFleet(respondToAll);
  await fleet.waitUntilAccepting();
  fleet.target.closeAllConnections();
  fleet.target.close();
  const response = await fleet.send("/v1/x");
  t.match(JSON.parse(response.text), { outcome: "not_run", reason: AgentRefusal.TargetUnreachable });
  while ((await fleet.fetchState()).accepting) {
    await delay(10);
  }
  t.equal((await fleet.fetchState()).reason, AgentRefusal.TargetUnreachable);
  await fleet.close();
});

// Guards against an engine that continues for a caller that has disconnected, and against unbounded buffers
// for one that does not read.
t.test("backpressure and disconnects reach the engine", async (t) => {
  const chunk = Buffer.alloc(65_536, "x");
  const maxBytes = 64 * 1_048_576;
  let written = 0;
  const engine = { closed: false };
  const fleet = await createAgentFleet((request, response) => {
    request.resume();
    // Polls of the agent get an empty response; only the forwarded request is streamed.
    if (request.url?.startsWith("/engine/") === true) {
      response.end("{}");
      return;
    }
    response.on("close", () => (engine.closed = true));
    const fill = (): void => {
      while (written < maxBytes && !response.destroyed) {
        written += chunk.length;
        if (!response.write(chunk)) {
          response.once("drain", fill);
          return;
        }
      }
    };
    fill();
  });
  const { stamp } = await fleet.waitUntilAccepting();
  const headers = { [headerNames.stamp]: stamp, [headerNames.attemptId]: "slow" };
  const caller = requestHttp({ host: "127.0.0.1", port: fleet.port, method: "POST", path: "/v1/x", headers });
  caller.on("error", () => undefined);
  const response = await new Promise<IncomingMessage>((resolve) => {
    caller.on("response", resolve);
    caller.end();
  });
  response.on("error", () => undefined);
  for (let before = -1; before !== written;) {
    before = written;
    await delay(200);
  }
  t.ok(written < maxBytes, `${written} bytes were read from the engine`);
  t.equal(fleet.agent.inFlight, 1);
  caller.destroy();
  while (!engine.closed || fleet.agent.inFlight > 0) {
    await delay(10);
  }
  await fleet.close();
});

// Guards against a shutdown that aborts a request in flight (I6) or admits new ones.
t.test("leaving waits for requests in flight", async (t) => {
  let finish = (): void => undefined;
  const fleet = await createAgentFleet((request, response) => {
    request.resume();
    if (request.url === "/engine/load") {
      response.end("{}");
      return;
    }
    response.write("first ");
    finish = () => response.end("last");
  });
  await fleet.waitUntilAccepting();
  const running = fleet.send("/v1/x");
  while (fleet.agent.inFlight === 0) {
    await delay(5);
  }
  const leaving = fleet.agent.leave();
  const refused = await fleet.send("/v1/x");
  t.match(JSON.parse(refused.text), { outcome: "not_run", reason: AgentRefusal.TargetLeaving });
  while (fleet.relay.directory.targets().length > 0) {
    await delay(5);
  }
  finish();
  t.match(await running, { status: 200, text: "first last" });
  t.equal(await leaving, true);
  await fleet.close();
});

// Guards against a shutdown that never ends because of one request.
t.test("leaving ends at its deadline", async (t) => {
  const fleet = await createAgentFleet(
    (request, response) => {
      if (request.url === "/engine/load") {
        response.end("{}");
      }
      request.resume();
    },
    { shutdownDeadlineMs: 100 },
  );
  await fleet.waitUntilAccepting();
  const running = fleet.send("/v1/x").catch(() => null);
  while (fleet.agent.inFlight === 0) {
    await delay(5);
  }
  t.equal(await fleet.agent.leave(), false);
  t.equal(await running, null);
  await fleet.close();
});

// Guards against orders that reach an engine without their fencing token or although they were rejected.
t.test("orders are fenced and forwarded", async (t) => {
  const orders: unknown[] = [];
  const fleet = await createAgentFleet((request, response) => {
    let text = "";
    request.on("data", (chunk: Buffer) => (text += chunk.toString()));
    request.on("end", () => {
      if (request.url === "/engine/orders") {
        orders.push([request.headers["clementinemux-fencing"], JSON.parse(text)]);
      }
      response.end("{}");
    });
  });
  const { stamp } = await fleet.fetchState();
  const sendOrder = (body: unknown) => fleet.send("/agent/order", {}, JSON.stringify(body));
  t.equal((await sendOrder({ epoch: 5, stamp, order: { load: "m" } })).status, 200);
  t.match(JSON.parse((await sendOrder({ epoch: 4, stamp, order: {} })).text), {
    reason: AgentRefusal.EpochTooOld,
  });
  t.match(JSON.parse((await sendOrder({ epoch: "5" })).text), { reason: AgentRefusal.OrderMalformed });
  t.same(orders, [["5", { load: "m" }]]);
  await fleet.close();
});

// Guards against a peer with slow or endless headers that makes the agent unavailable to others.
t.test("slow and long headers do not affect other callers", async (t) => {
  const fleet = await createAgentFleet(respondToAll, { maxConnections: 64 });
  await fleet.waitUntilAccepting();
  const slow = Array.from({ length: 20 }, () => connect(fleet.port, "127.0.0.1"));
  for (const socket of slow) {
    socket.on("error", () => undefined);
    socket.write("POST / HTTP/1.1\r\nx: ");
  }
  const long = await fleet.send("/v1/x", { x: "y".repeat(20_000) });
  t.equal(long.status, 431);
  t.equal((await fleet.send("/v1/x")).status, 200);
  for (const socket of slow) {
    socket.destroy();
  }
  await fleet.close();
});

// Guards against a non-repeatable call on a kept-alive connection that the target has just closed: it would
// be unknown whether the call was read.
t.test("non-repeatable call has its own connection", async (t) => {
  const sockets = new Set<unknown>();
  const fleet = await createAgentFleet(
    (request, response) => {
      if (request.url !== "/engine/load") {
        sockets.add(request.socket);
      }
      respondToAll(request, response);
    },
    { kind: "service", service: "pay" },
  );
  await fleet.waitUntilAccepting();
  for (let callNumber = 1; callNumber <= 3; callNumber += 1) {
    t.equal((await fleet.send("/pay")).status, 200);
    t.equal(sockets.size, callNumber);
  }
  await fleet.close();
});

// Guards against an agent that keeps using relays that are down or unresponsive and loses its lease.
t.test("agent switches to other relays", async (t) => {
  const services = [new RelayService(), new RelayService(), new RelayService()];
  const servers = services.map(
    ({ handlers }) => new RpcServer({ handlers: { ...handlers, renew: () => createRenewal(0, 0) } }),
  );
  const proxies: FaultyProxy[] = [];
  const relays: string[] = [];
  for (const server of servers) {
    const proxy = new FaultyProxy(await server.listen("127.0.0.1", 0));
    proxies.push(proxy);
    relays.push(`127.0.0.1:${await proxy.listen()}`);
  }
  const fleet = await createAgentFleet(respondToAll, { relays });
  const isListed = (index: number): boolean => services[index]!.directory.targets().length > 0;
  while (!isListed(0) || !isListed(1)) {
    await delay(10);
  }
  t.equal(isListed(2), false);
  proxies[0]!.blackholeAll();
  proxies[1]!.closeAll();
  while (!isListed(2)) {
    await delay(10);
  }
  await fleet.waitUntilAccepting();
  t.equal((await fleet.send("/v1/x")).status, 200);
  await fleet.close();
  await Promise.all([...proxies.map((proxy) => proxy.close()), ...servers.map((server) => server.close())]);
});

// Guards against a non-repeatable call that is aborted, or an agent that exits, because the caller has
// disconnected before the response.
t.test("non-repeatable call outlives its caller", async (t) => {
  let finish = (): void => undefined;
  let ended = false;
  const fleet = await createAgentFleet(
    (request, response) => {
      request.resume();
      if (request.url === "/engine/load") {
        response.end("{}");
        return;
      }
      response.on("finish", () => (ended = true));
      finish = () => {
        response.write("first ");
        response.end(Buffer.alloc(1_048_576));
      };
    },
    { kind: "service", service: "pay" },
  );
  const { stamp } = await fleet.waitUntilAccepting();
  const headers = { [headerNames.stamp]: stamp, [headerNames.attemptId]: "gone" };
  const caller = requestHttp({ host: "127.0.0.1", port: fleet.port, method: "POST", path: "/pay", headers });
  caller.on("error", () => undefined);
  caller.end("{}");
  while (fleet.agent.inFlight === 0) {
    await delay(5);
  }
  await delay(50);
  caller.destroy();
  await delay(50);
  t.equal(fleet.agent.inFlight, 1);
  finish();
  while (fleet.agent.inFlight > 0) {
    await delay(5);
  }
  t.equal(ended, true);
  t.equal((await fleet.fetchState()).accepting, true);
  await fleet.close();
});
