import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { encode } from "cbor-x";
import type { SyncRequest } from "@clementinemux/registry/SyncRequest";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createSyncResponse } from "@clementinemux/standins/gateway/createSyncResponse";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcServer } from "@clementinemux/wire/RpcServer";

const host = "127.0.0.1";
const targetCount = 16;
const eventBytes = 65;

/** A stand-in coordinator and target for one gateway. The target streams events at a constant rate. */
export class GatewayStub {
  readonly #coordinator = new RpcServer({
    handlers: { [MessageName.SyncEntry]: (body) => this.#sync(body as SyncRequest) },
  });
  readonly #target: Server;

  constructor(events: number, eventGapMs: number) {
    this.#target = createServer((request, response) => {
      request.resume();
      const id = request.headers["x-request-id"] ?? "";
      response.writeHead(200, { "x-request-id": id, "content-type": "text/event-stream" });
      let sent = 0;
      const timer = setInterval(() => {
        sent += 1;
        response.write(`id: ${sent}\ndata: ${"x".repeat(eventBytes)}\n\n`);
        if (sent === events) {
          clearInterval(timer);
          response.end();
        }
      }, eventGapMs);
    });
  }

  /** Starts both servers and returns the port of the coordinator. */
  async start(): Promise<number> {
    await new Promise<void>((resolve) => this.#target.listen(0, host, resolve));
    return this.#coordinator.listen(host, 0);
  }

  async stop(): Promise<void> {
    this.#target.closeAllConnections();
    this.#target.close();
    await this.#coordinator.close();
  }

  #sync({ documentVersion }: SyncRequest): SyncResponse {
    const { port } = this.#target.address() as AddressInfo;
    return createSyncResponse({
      service: "llm",
      addresses: Array.from({ length: targetCount }, () => `${host}:${port}`),
      slots: 1000,
      documentVersion: 1,
      document: documentVersion < 1 ? encode(createDocument()) : null,
      ageMs: 0,
    });
  }
}

function createDocument(): RouteDocument {
  return {
    version: 1,
    routes: [
      {
        name: "r",
        host: "bench",
        pathPrefix: "/",
        kind: RouteKind.Streaming,
        timeoutMs: 30_000,
        objectiveMs: 500,
        gapObjectiveMs: 120,
        priority: 1,
        split: [{ service: "llm", weight: 1 }],
        attempts: 2,
        isPublic: true,
        canResume: true,
      },
    ],
    services: [{ name: "llm", healthPath: "/health", maxConnections: 10_000, engine: null }],
    teams: null,
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  };
}
