import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { CaseContext } from "../lib-2/runCase";
import { SmallDeployment } from "../lib-2/SmallDeployment";
import { StandInRunner } from "../lib-2/StandInRunner";
import { createLargeConfig, manyKeys } from "../lib-2/createLargeConfig";
import { createLookupConfig } from "../lib-2/createLookupConfig";
import { runCase } from "../lib-2/runCase";
import { sendLookup } from "../lib-2/sendLookup";
import { findProcess, readMemoryMb } from "./measurePeaks";

const [, , name = "", count = "0", way = "chunks"] = process.argv;
const settleMs = 3000;
const sampleMs = 50;
const samples = 240;
const bodyBytes = 4_194_304;
const chunks = "1\r\nx\r\n".repeat(2730);
const block = "x".repeat(65_536);

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

async function startAll(context: CaseContext): Promise<SmallDeployment> {
  const deployment = await SmallDeployment.start(context);
  await deployment.call("PUT", "/config", createLookupConfig(1));
  const runner = new StandInRunner({
    id: "i-1",
    service: "patio",
    host: "127.0.0.9",
    record: context.record,
  });
  context.onEnd(() => {
    runner.close();
  });
  await runner.start((path, body) => deployment.call("PUT", path, body));
  await delay(settleMs);
  return deployment;
}

async function printLookups({ gatewayAddresses }: SmallDeployment): Promise<void> {
  const statuses = await Promise.all(gatewayAddresses.map((address, at) => sendLookup(address, `l-${at}`)));
  print(`lookups ${statuses.join(" ")}`);
}

/** Sends an upload that stops before its end. */
function upload(address: string): Socket {
  const [host = "", port = ""] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  const framing = way === "chunks" ? "Transfer-Encoding: chunked" : `Content-Length: ${bodyBytes}`;
  const key = "Host: app.example\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 60000";
  socket.write(`POST /stock/1 HTTP/1.1\r\n${key}\r\nAttempt-Id: u\r\n${framing}\r\n\r\n`);
  let left = way === "chunks" ? bodyBytes / 2730 - 40 : bodyBytes / block.length - 1;
  const go = (): void => {
    left -= 1;
    if (left > 0 && !socket.destroyed) {
      socket.write(way === "chunks" ? chunks : block, go);
    }
  };
  go();
  return socket;
}

async function playCrowd(context: CaseContext): Promise<void> {
  const deployment = await startAll(context);
  const id = findProcess(`${context.folder}/gateway-1.jsonc`);
  const sockets = Array.from({ length: Number(count) }, () => upload(deployment.gatewayAddresses[0] ?? ""));
  let anonymous = 0;
  for (let at = 0; at < samples; at += 1) {
    await delay(sampleMs);
    anonymous = Math.max(anonymous, readMemoryMb(id).anonymous);
  }
  sockets.forEach((socket) => socket.destroy());
  print(`${count} connections, ${way}: peak ${readMemoryMb(id).peak} MB, anonymous ${anonymous} MB`);
  await printLookups(deployment);
}

async function playRoutes(context: CaseContext): Promise<void> {
  const deployment = await startAll(context);
  const shared = { host: "app.example", kind: "idempotent", timeout_ms: 4000, service: "patio", attempts: 2 };
  const routes = Array.from({ length: Number(count) }, (_, at) => ({
    ...shared,
    name: `r-${at}`,
    path_prefix: at === 0 ? "/stock/" : `/p${at}/`,
  }));
  const config = createLookupConfig(2, { routes });
  const sentAtMs = performance.now();
  await deployment.call("PUT", "/config", config);
  const bytes = JSON.stringify(config).length;
  print(`${count} routes, ${bytes} bytes: acknowledged after ${Math.round(performance.now() - sentAtMs)} ms`);
  await delay(settleMs);
  await printLookups(deployment);
}

async function playFirstSeed(context: CaseContext): Promise<void> {
  const deployment = await SmallDeployment.start(context);
  await delay(300);
  await deployment.coordinators[0]?.end();
  const end = await deployment.call("PUT", "/config", createLookupConfig(1), 40_000).then(
    () => "acknowledged",
    (error: unknown) => String(error),
  );
  print(end);
  await printLookups(deployment);
}

async function playCoreOnly(context: CaseContext): Promise<void> {
  const deployment = await startAll(context);
  await deployment.call("PUT", "/config", createLargeConfig(2, manyKeys), 8000).catch((error: unknown) => {
    print(String(error));
  });
  await printLookups(deployment);
  await Promise.all(deployment.coordinators.map((process) => process.end()));
  for (const process of deployment.coordinators) {
    process.start();
  }
  await delay(24_000);
  await printLookups(deployment);
}

const plays: Readonly<Record<string, (context: CaseContext) => Promise<void>>> = {
  crowd: playCrowd,
  routes: playRoutes,
  firstSeed: playFirstSeed,
  coreOnly: playCoreOnly,
};

await runCase("tries-2", async (context) => {
  await plays[name]?.(context);
  return true;
});
