import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as requestTls } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";
import t from "tap";
import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import type { Policy } from "@clementinemux/policy/Policy";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import { requestModel } from "./requestModel";
import { startFleet } from "./startFleet";

const nothing = (): readonly PolicyAction[] => [];

/** Sends every request to two engines at the same time, and cancels neither. */
const sendTwice: Policy = {
  applyConfig: nothing,
  applyTargets: nothing,
  onTokens: nothing,
  onAttemptEnded: nothing,
  onCallerGone: nothing,
  onTick: nothing,
  setLiveEntryCount: () => undefined,
  onCacheEvent: () => undefined,
  onCachedBlockCount: () => undefined,
  explain: () => [],
  submit: ({ requestId }) =>
    [0, 1].map((index) => ({
      kind: PolicyActionKind.Dispatch,
      requestId,
      attemptId: `${requestId}.${index}`,
      target: `engine-${index}`,
      enginePriority: 0,
      retryReason: null,
      resume: false,
    })),
};

// Guards against a response mixed from two samples of the same request.
t.test("hedged sampled request gets the response of one engine", async (t) => {
  const fleet = await startFleet({
    engineCount: 2,
    policy: sendTwice,
    // The second engine starts later and overtakes the first. Its tokens contain padding, which identifies
    // them.
    engineOverrides: [
      { firstTokenMs: 2, tokenIntervalMs: 15 },
      { firstTokenMs: 60, tokenIntervalMs: 1, tokenPaddingBytes: 1 },
    ],
  });
  const response = await requestModel(fleet.urls[0]!, "hedged", {
    body: { seed: undefined, temperature: 1 },
  });
  t.ok(response.isComplete);
  t.equal(response.tokens.length, 20);
  t.notOk(response.text.includes("padding"));
  await fleet.stop();
});

// Guards against unencrypted requests from callers although certificates are configured.
t.test("TLS for callers", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "entry-tls-"));
  const pems = await generate([{ name: "commonName", value: "localhost" }]);
  const tls = { keyFile: join(folder, "key.pem"), certFile: join(folder, "cert.pem") };
  writeFileSync(tls.keyFile, pems.private);
  writeFileSync(tls.certFile, pems.cert);
  const entry = new EntryServer(
    EntrySettings.parse({
      name: "e",
      port: 0,
      failureDomain: "f",
      region: "r",
      relays: ["127.0.0.1:9"],
      tls,
    }),
  );
  const port = await entry.start();
  const status = await new Promise((resolve, reject) => {
    const options = { host: "127.0.0.1", port, path: "/healthz", ca: pems.cert, servername: "localhost" };
    const request = requestTls(options, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.once("error", reject);
    request.end();
  });
  t.equal(status, 200);
  await entry.kill();
  rmSync(folder, { recursive: true });
});
