import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";
import t from "tap";
import { Agent, request as requestHttp } from "undici";
import { SystemFleet } from "@clementinemux/system/SystemFleet";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";

// Reached only when a test hangs.
t.setTimeout(100_000);

// Guards against a connection that does not work with certificates, or that accepts a peer without one.
t.test("mutual TLS on the whole path", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-tls-"));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  const { private: key, cert } = await generate([{ name: "commonName", value: "127.0.0.1" }]);
  const [keyFile, certFile] = [join(folder, "key.pem"), join(folder, "cert.pem")];
  writeFileSync(keyFile, key);
  writeFileSync(certFile, cert);
  const tls = { keyFile, certFile, caFile: certFile };
  const fleet = await SystemFleet.start({ engineCount: 1, entryCount: 1, hasService: true, tls });
  t.teardown(() => fleet.stop());
  const ca = readFileSync(certFile);
  const caller = new Agent({ connect: { ca, checkServerIdentity: (): undefined => undefined } });
  const [url = ""] = fleet.entryUrls;
  const text = await waitUntil("response over TLS", async () => {
    const body = JSON.stringify({ model: "demo", prompt: "p", max_tokens: 3, stream: true });
    const response = await requestHttp(`${url}/v1/completions`, { method: "POST", body, dispatcher: caller });
    const text = await response.body.text();
    return response.statusCode === 200 ? text : null;
  });
  t.ok(text.endsWith("data: [DONE]\n\n"));
  // The claim of a request that runs at most once is sent to control over RPC. The caller retries after
  // "not_run": with TLS, the fleet does not wait until the entries have discovered the service, and a new
  // leader may not have a lease.
  const once = await waitUntil("response of the service", async () => {
    const response = await requestHttp(`${url}/services/orders/run`, {
      method: "POST",
      headers: { "idempotency-key": "k", "idempotency-mode": "once" },
      body: "k",
      dispatcher: caller,
    });
    const text = await response.body.text();
    return text.includes('"outcome":"not_run"') ? null : { status: response.statusCode, text };
  });
  t.equal(once.status, 200, once.text);
  const agentUrl = `https://${fleet.agentAddresses[0] ?? ""}/agent/state`;
  await t.rejects(requestHttp(agentUrl, { dispatcher: caller }), "the agent requires a certificate");
  const withCert = new Agent({ connect: { ca, key, cert, checkServerIdentity: (): undefined => undefined } });
  t.equal((await requestHttp(agentUrl, { dispatcher: withCert })).statusCode, 200);
  const [relay = ""] = fleet.relays;
  const address = { host: "127.0.0.1", port: Number(relay.split(":")[1]) };
  const plain = new RpcClient({ address });
  t.teardown(() => {
    plain.close();
  });
  const response = await plain.call(MessageName.FetchConfig, {}, 1000);
  t.ok(response.isLeft(), "control requires a certificate");
  await Promise.all([caller.destroy(), withCert.destroy()]);
});
