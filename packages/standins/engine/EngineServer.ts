import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createRandom } from "@clementinemux/common/createRandom";
import type { AgentState } from "@clementinemux/agent/AgentState";
import { headerNames } from "@clementinemux/common/headerNames";
import type { LoadReport } from "@clementinemux/policy/LoadReport";
import { resumeHeaderNames } from "@clementinemux/common/resumeHeaderNames";
import { Batcher } from "./Batcher";
import type { CompletionBody } from "./CompletionBody";
import type { EngineFaults } from "./EngineFaults";
import type { EngineSettings } from "./EngineSettings";
import type { EngineStream } from "./EngineStream";
import { LaggedReports } from "./LaggedReports";
import { EngineState } from "./EngineState";
import { PrefixCache } from "./PrefixCache";
import { StreamStore } from "./StreamStore";
import { StreamWriter } from "./StreamWriter";
import { createDefaultFaults } from "./createDefaultFaults";
import { createStream } from "./createStream";
import { fetchKvCache } from "./fetchKvCache";
import { readJsonBody } from "./readJsonBody";

type EngineLoad = Omit<LoadReport, "measuredAtMs">;

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

const defaultBatchLimitCount = 64;
const defaultPrefixBlocks = 4096;
const defaultResumeWindowMs = 5000;
const conflictStatus = 409;

/** Stand-in for a model engine. */
export class EngineServer {
  /** Injected faults; tests in the same process set them directly. */
  readonly faults: EngineFaults = createDefaultFaults();
  /** Counters that tests read. */
  readonly counts = { started: 0, resumed: 0, imported: 0, cancelled: 0, exported: 0, tokens: 0 };
  readonly #settings: EngineSettings;
  readonly #server: Server;
  readonly #batcher: Batcher;
  readonly #streams = new StreamStore();
  readonly #prefixCache: PrefixCache;
  readonly #reports: LaggedReports<EngineLoad>;
  readonly #state: EngineState;
  readonly #sockets = new Set<Socket>();
  #unresponsiveSockets = new Set<Socket>();
  #stepTimer: NodeJS.Timeout | null = null;
  /** State that `/agent/state` reports in place of an agent, for tests of the entry without agents. */
  accepting = true;

  readonly #handlers: Readonly<Record<string, Handler>> = {
    "POST /v1/chat/completions": (request, response) => this.#complete(request, response),
    "POST /v1/completions": (request, response) => this.#complete(request, response),
    "GET /v1/kv": (request, response) => {
      this.#exportKvCache(request, response);
    },
    "POST /engine/orders": (request, response) => this.#applyOrder(request, response),
    "GET /engine/load": (_request, response) => {
      const report = this.#reports.getReport(performance.now());
      sendJson(response, report === null ? {} : { ...report, lagMs: this.#getLagMs() });
    },
    "GET /engine/cache-events": (request, response) => {
      const after = Number(new URL(request.url ?? "", "http://engine").searchParams.get("after") ?? 0);
      sendJson(response, this.#reports.getCacheEvents(after, performance.now()));
    },
    "POST /standin/faults": async (request, response) => {
      Object.assign(this.faults, await readJsonBody(request));
      sendJson(response, this.faults);
    },
    "GET /standin/counts": (_request, response) => {
      sendJson(response, this.counts);
    },
    "GET /agent/state": (_request, response) => {
      this.#sendAgentState(response);
    },
  };

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#state = new EngineState(settings.models, settings.checksFencing ?? false);
    this.#batcher = new Batcher({
      batchLimitCount: settings.batchLimitCount ?? defaultBatchLimitCount,
      stepMs: settings.tokenIntervalMs,
      stepPerRequestMs: settings.stepPerRequestMs ?? 0,
    });
    this.#reports = new LaggedReports({
      reportLagMs: settings.reportLagMs ?? 0,
      eventDelayMs: settings.cacheEventDelayMs ?? 0,
      eventLossShare: settings.cacheEventLossShare ?? 0,
      random: createRandom(settings.seed ?? 1),
    });
    this.#prefixCache = new PrefixCache(
      settings.prefixCacheBlocks ?? defaultPrefixBlocks,
      (block, stored) => {
        this.#reports.addCacheEvent(block, stored, performance.now());
      },
    );
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on("connection", (socket: Socket) => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
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
    clearTimeout(this.#stepTimer ?? undefined);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** From now on, the open connections accept bytes and get no responses; new connections work. */
  makeConnectionsUnresponsive(): void {
    this.#unresponsiveSockets = new Set(this.#sockets);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#unresponsiveSockets.has(request.socket)) {
      return;
    }
    const [path = ""] = (request.url ?? "").split("?", 1);
    const name = path.startsWith("/v1/kv/") ? "/v1/kv" : path;
    const handler = this.#handlers[`${request.method ?? ""} ${name}`];
    if (handler === undefined) {
      response.writeHead(404).end();
      return;
    }
    if (!this.faults.frozen || path.startsWith("/standin/") || path.startsWith("/agent/")) {
      await handler(request, response);
    }
  }

  async #complete(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request)) as CompletionBody;
    if (!this.#state.models.has(body.model ?? "")) {
      response.writeHead(404).end();
      return;
    }
    const stream = await this.#findOrCreateStream(request, body);
    if (stream === null) {
      response.writeHead(conflictStatus).end();
      return;
    }
    const echoedId = this.faults.foreignAnswer ? "another-request.1" : stream.attemptId;
    const writer = new StreamWriter(
      response,
      stream,
      { echoedId, paddingBytes: this.#settings.tokenPaddingBytes ?? 0 },
      this.faults,
    );
    stream.canSend = () =>
      !this.faults.frozen && !this.#unresponsiveSockets.has(request.socket) && writer.canSend();
    stream.send = (token, index) => {
      this.counts.tokens += 1;
      writer.sendToken(token, index);
    };
    stream.finish = () => {
      writer.finish();
      this.#streams.remove(stream.attemptId);
    };
    const headerId = this.faults.foreignHeader ? "another-request.1" : echoedId;
    response.writeHead(200, { "content-type": "text/event-stream", [headerNames.attemptId]: headerId });
    response.flushHeaders();
    response.once("close", () => {
      this.#onClosed(stream, response);
    });
    this.#streams.add(stream);
    this.#batcher.add(stream);
    this.#scheduleStep();
  }

  async #findOrCreateStream(request: IncomingMessage, body: CompletionBody): Promise<EngineStream | null> {
    const { headers } = request;
    const resumedId = headers[resumeHeaderNames.attempt];
    if (typeof resumedId !== "string") {
      this.counts.started += 1;
      return this.#create(request, body);
    }
    if (this.faults.refuseResume) {
      return null;
    }
    const nextTokenIndex = Number(headers[resumeHeaderNames.fromToken]);
    const source = headers[resumeHeaderNames.kvSource];
    if (typeof source === "string") {
      const stamp = String(headers[resumeHeaderNames.kvStamp] ?? "");
      const cache = await fetchKvCache(source, resumedId, stamp);
      if (cache === null) {
        return null;
      }
      this.counts.imported += 1;
      return {
        ...this.#create(request, body, cache),
        nextTokenIndex,
        readyAtMs: performance.now(),
      };
    }
    const suspended = this.#streams.get(resumedId);
    if (suspended === null) {
      return null;
    }
    this.#batcher.remove(suspended);
    this.#streams.remove(resumedId);
    this.counts.resumed += 1;
    return {
      ...suspended,
      attemptId: getAttemptId(request),
      nextTokenIndex,
      readyAtMs: performance.now(),
    };
  }

  #create(
    request: IncomingMessage,
    body: CompletionBody,
    cache?: { readonly seed: number; readonly tokens: readonly string[] },
  ): EngineStream {
    const stream = createStream({
      attemptId: getAttemptId(request),
      isChat: (request.url ?? "").includes("chat"),
      priority: Number(request.headers[headerNames.priority] ?? 0),
      body,
      seed: cache?.seed,
      tokens: cache?.tokens ?? [],
    });
    const cachedCharacters = this.#prefixCache.use(stream.prompt);
    stream.cachedCharacters = cachedCharacters;
    const newTokenCount = (stream.prompt.length - cachedCharacters) / 4;
    const prefillMs = ((this.#settings.prefillPerThousandMs ?? 0) * newTokenCount) / 1000;
    stream.readyAtMs = performance.now() + this.#settings.firstTokenMs + prefillMs;
    return stream;
  }

  /**
   * A lost connection stops the computation. The state is kept for the resume window, so that the stream can
   * be resumed.
   */
  #onClosed(stream: EngineStream, response: ServerResponse): void {
    this.#batcher.remove(stream);
    stream.send = null;
    stream.expiresAtMs = performance.now() + (this.#settings.resumeWindowMs ?? defaultResumeWindowMs);
    if (!response.writableFinished) {
      this.counts.cancelled += 1;
    }
  }

  #exportKvCache(request: IncomingMessage, response: ServerResponse): void {
    const attemptId = (request.url ?? "").slice("/v1/kv/".length);
    const stream = this.#streams.get(attemptId);
    if (stream === null || this.faults.refuseResume) {
      response.writeHead(404).end();
      return;
    }
    this.counts.exported += 1;
    sendJson(response, { seed: stream.seed, tokens: stream.tokens });
  }

  async #applyOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = (await readJsonBody(request)) as Parameters<EngineState["apply"]>[0];
    response.writeHead(this.#state.apply(order) ? 200 : conflictStatus).end();
  }

  #scheduleStep(): void {
    this.#stepTimer ??= setTimeout(() => {
      this.#stepTimer = null;
      const nowMs = performance.now();
      if (!this.faults.frozen) {
        this.#batcher.step(nowMs);
        this.#streams.evictExpired(nowMs);
        this.#reports.addReport(this.#getLoad(), nowMs);
      }
      if (this.#batcher.runningCount + this.#batcher.queuedCount > 0) {
        this.#scheduleStep();
      }
    }, this.#batcher.stepMs);
  }

  #getLoad(): EngineLoad {
    const { runningCount, queuedCount, tokenCount, stepMs } = this.#batcher;
    const limit = this.#settings.prefixCacheBlocks ?? defaultPrefixBlocks;
    return {
      runningCount,
      queuedCount,
      runningTokenCount: Math.round(tokenCount),
      batchLimitCount: this.#settings.batchLimitCount ?? defaultBatchLimitCount,
      stepMs,
      kvFreeShare: 1 - this.#prefixCache.size / limit,
      groupSkew: 1,
    };
  }

  #sendAgentState(response: ServerResponse): void {
    const load = this.#reports.getReport(performance.now());
    const state: AgentState = {
      target: "",
      stamp: "0/0",
      accepting: this.accepting,
      reason: null,
      inFlight: this.#batcher.runningCount,
      load: load === null ? null : { ...load, ageMs: this.#getLagMs() },
      revision: 0,
      group: null,
    };
    sendJson(response, state);
  }

  #getLagMs(): number {
    return this.#settings.reportLagMs ?? 0;
  }
}

function getAttemptId(request: IncomingMessage): string {
  return String(request.headers[headerNames.attemptId] ?? "none");
}

function sendJson(response: ServerResponse, body: unknown): void {
  response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
}
