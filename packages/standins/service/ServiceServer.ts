import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { AgentState } from "@clementinemux/agent/AgentState";
import { headerNames } from "@clementinemux/common/headerNames";

interface ServiceSettings {
  readonly host: string;
  readonly port: number;
  /** Duration of an execution. */
  readonly executionMs: number;
}

/** Stand-in for a plain service whose calls are not idempotent: counts the executions of each key. */
export class ServiceServer {
  /** Number of executions by key; the key is the request body. */
  readonly executions = new Map<string, number>();
  /** Injected fault: closes the connection after the execution, without a response. */
  disconnectAfterExecution = false;
  /** Injected fault: the target crashes, and no longer listens, as it executes a call with this body. */
  deadlyBody: string | null = null;
  /** Whether only the target crashes, and the agent before it goes on and reports that. */
  hasAgent = false;
  #crashedAtMs: number | null = null;
  /** Injected fault: the next response ends after this many bytes of its head. */
  cutHeadAt: number | null = null;
  /** Injected fault: answers the next request with raw bytes. */
  answerRaw: ((socket: Socket) => void) | null = null;
  /** Injected fault: executes requests, but never responds. */
  frozen = false;
  /**
   * Number of further requests that are rejected before they run, with the headers of an agent's rejection.
   */
  agentRefusals = 0;
  readonly #settings: ServiceSettings;
  readonly #server: Server;

  constructor(settings: ServiceSettings) {
    this.#settings = settings;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  /** Resolves with the bound port. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#settings.port, this.#settings.host, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
      });
    });
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === "/agent/state") {
      // Responds in place of an agent, for tests of the entry without agents.
      const state: AgentState = {
        target: "",
        stamp: "0/0",
        accepting: true,
        reason: null,
        inFlight: 0,
        load: null,
        revision: 0,
        lastCrash:
          this.#crashedAtMs === null
            ? null
            : { number: 1, ageMs: Math.round(performance.now() - this.#crashedAtMs) },
        group: null,
      };
      response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(state));
      return;
    }
    if (request.url === "/standin/executions") {
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify(Object.fromEntries(this.executions)));
      return;
    }
    if (request.url?.startsWith("/engine/") === true) {
      // A service has no load report. Polls of the agent do not count as executions and return at once.
      response.writeHead(404).end();
      return;
    }
    if (this.agentRefusals > 0) {
      this.agentRefusals -= 1;
      response.writeHead(503, { [headerNames.refusedBy]: "agent", [headerNames.stamp]: "0/0" }).end();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
      chunks.push(chunk);
    }
    const key = Buffer.concat(chunks).toString("utf8");
    const count = (this.executions.get(key) ?? 0) + 1;
    this.executions.set(key, count);
    await delay(this.#settings.executionMs);
    if (key === this.deadlyBody && this.hasAgent) {
      this.#crashedAtMs = performance.now();
      response.writeHead(502, { "content-type": "application/json", [headerNames.targetLost]: "1" });
      response.end(JSON.stringify({ outcome: "unknown", reason: "target_connection_lost" }));
      return;
    }
    if (key === this.deadlyBody) {
      this.close();
      return;
    }
    const { answerRaw } = this;
    if (answerRaw !== null && response.socket !== null) {
      this.answerRaw = null;
      answerRaw(response.socket);
      return;
    }
    if (this.cutHeadAt !== null) {
      const head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n";
      response.socket?.end(head.slice(0, this.cutHeadAt));
      this.cutHeadAt = null;
      return;
    }
    if (this.frozen) {
      return;
    }
    if (this.disconnectAfterExecution) {
      response.destroy();
      return;
    }
    const attemptId = String(request.headers[headerNames.attemptId] ?? "");
    response.writeHead(200, { "content-type": "application/json", [headerNames.attemptId]: attemptId });
    response.end(JSON.stringify({ key, execution: count }));
  }
}
