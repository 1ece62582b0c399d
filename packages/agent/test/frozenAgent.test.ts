import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as requestHttp } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import t from "tap";
import type { AgentState } from "@clementinemux/agent/AgentState";
import { headerNames } from "@clementinemux/common/headerNames";
import { RelayService } from "@clementinemux/membership/RelayService";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { createRenewal } from "./helpers/createRenewal";

const host = "127.0.0.1";
const program = new URL("../../../../../dist/clementinemux-agent.mjs", import.meta.url).pathname;
const suspendedMs = 3500;
const shutdownDeadlineMs = 2000;

// Guards against a suspended process that resumes and runs the requests in its socket buffers: their senders
// have abandoned them and may have sent them elsewhere. A second SIGTERM must not cut off a request before the deadline.
t.test("woken agent refuses what waited", async (t) => {
  if (!existsSync(program)) {
    t.fail("dist/clementinemux-agent.mjs is missing; run npm run build first");
    return;
  }
  let ranCount = 0;
  const target = createServer((request, response) => {
    request.resume();
    ranCount += request.method === "POST" ? 1 : 0;
    if (request.url !== "/v1/endless") {
      response.end("{}");
    }
  }).listen(0, host);
  await once(target, "listening");
  const handlers = { ...new RelayService().handlers, renew: () => createRenewal(0, 0) };
  const control = new RpcServer({ handlers });
  const relays = [`${host}:${await control.listen(host, 0)}`];
  const port = (await findFreePorts(1))[0] ?? 0;
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-frozen-"));
  const file = join(folder, "agent.jsonc");
  const targetAddress = `${host}:${(target.address() as AddressInfo).port}`;
  const baseSettings = { port, failureDomain: "fd-1", region: "local", kind: "engine", shutdownDeadlineMs };
  writeFileSync(file, JSON.stringify({ ...baseSettings, target: "runner-1", targetAddress, relays }));
  const child = spawn(process.execPath, [program, "--settings", file]);
  const ended = once(child, "exit");
  child.once("exit", (code, signal) => {
    t.comment(`the agent exited with ${code ?? signal ?? "nothing"}`);
  });
  child.stderr.on("data", (chunk: Buffer) => {
    t.comment(chunk.toString());
  });
  const fetchState = async (): Promise<AgentState | null> => {
    try {
      return (await (await fetch(`http://${host}:${port}/agent/state`)).json()) as AgentState;
    } catch {
      return null;
    }
  };
  let state = await fetchState();
  while (state?.accepting !== true) {
    await delay(50);
    state = await fetchState();
  }
  const { stamp } = state;
  const send = (attemptId: string, path = "/v1/x"): Promise<string> =>
    new Promise((resolve, reject) => {
      const headers = { [headerNames.stamp]: stamp, [headerNames.attemptId]: attemptId };
      requestHttp({ host, port, path, method: "POST", headers, agent: false }, (response) => {
        let text = "";
        response.on("data", (chunk: Buffer) => (text += chunk.toString()));
        response.on("end", () => {
          resolve(text);
        });
      })
        .on("error", reject)
        .end("{}");
    });
  child.kill("SIGSTOP");
  const waiting = [send("a-1"), send("a-2"), send("a-3")];
  await delay(suspendedMs);
  child.kill("SIGCONT");
  for (const text of await Promise.all(waiting)) {
    t.match(JSON.parse(text), { outcome: "not_run", reason: /stamp_too_old|lease_expired/ });
  }
  t.equal(ranCount, 0);
  while ((await fetchState())?.accepting !== true) {
    await delay(50);
  }
  const { stamp: fresh } = (await fetchState())!;
  const headers = { [headerNames.stamp]: fresh, [headerNames.attemptId]: "a-4" };
  const cut = { atMs: 0 };
  requestHttp({ host, port, path: "/v1/endless", method: "POST", headers })
    .on("error", () => (cut.atMs = performance.now()))
    .end("{}");
  while (ranCount === 0) {
    await delay(20);
  }
  const signalledAtMs = performance.now();
  child.kill("SIGTERM");
  while ((await fetchState())?.accepting !== false) {
    await delay(20);
  }
  child.kill("SIGTERM");
  t.same(await ended, [1, null]);
  t.ok(cut.atMs - signalledAtMs >= shutdownDeadlineMs, "the second signal cuts off nothing");
  target.closeAllConnections();
  target.close();
  await control.close();
  rmSync(folder, { recursive: true });
});
