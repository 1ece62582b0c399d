import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as requestHttps } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";
import t from "tap";
import { Agent } from "@clementinemux/agent/Agent";
import { AgentSettings } from "@clementinemux/agent/AgentSettings";
import { SystemClock } from "@clementinemux/common/SystemClock";

const host = "127.0.0.1";

function fetchStatus(port: number, tls: Record<string, string>): Promise<number | string> {
  return new Promise((resolve) => {
    const options = { host, port, path: "/agent/state", agent: false, checkServerIdentity: () => undefined };
    requestHttps({ ...options, ...tls }, (response) => {
      response.resume();
      response.on("end", () => {
        resolve(response.statusCode ?? 0);
      });
    })
      .on("error", () => {
        resolve("refused");
      })
      .end();
  });
}

// Guards against callers that reach an agent directly without a certificate of the fleet.
t.test("caller without a certificate is rejected", async (t) => {
  const { private: key, cert } = await generate([{ name: "commonName", value: "fleet" }]);
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-tls-"));
  const [keyFile, certFile] = [join(folder, "key.pem"), join(folder, "cert.pem")];
  writeFileSync(keyFile, key);
  writeFileSync(certFile, cert);
  const baseSettings = { port: 1, failureDomain: "fd-1", region: "local", kind: "engine" };
  const tls = { keyFile, certFile, caFile: certFile };
  const unreachable = `${host}:1`;
  const settings = {
    ...baseSettings,
    target: "runner-1",
    targetAddress: unreachable,
    relays: [unreachable],
    tls,
  };
  const agent = new Agent({ ...AgentSettings.parse(settings), port: 0 }, new SystemClock());
  const port = await agent.start();
  t.equal(await fetchStatus(port, { key, cert, ca: cert }), 200);
  t.equal(await fetchStatus(port, { ca: cert }), "refused");
  await agent.stop();
  rmSync(folder, { recursive: true });
});
