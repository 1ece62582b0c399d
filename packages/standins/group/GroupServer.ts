import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type * as z from "zod";
import type { Random } from "@clementinemux/common/Random";
import { createRandom } from "@clementinemux/common/createRandom";
import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import type { RankOrder } from "@clementinemux/experts/activation/RankOrder";
import { createContiguousMap } from "@clementinemux/experts/baselines/createContiguousMap";
import { createUniformSpeeds } from "@clementinemux/experts/createUniformSpeeds";
import { readJsonBody } from "../engine/readJsonBody";
import { ExpertDemand } from "./ExpertDemand";
import type { GroupSettings } from "./GroupSettings";
import { LoadWindow } from "./LoadWindow";
import { RankGroup } from "./RankGroup";
import { countMissingExperts } from "./countMissingExperts";
import { sampleTokens } from "./sampleTokens";

type Handler = (rank: number, request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

// Without effect: these engines check neither fencing tokens nor the age of orders.
const orderMaxAgeMs = 2000;
const incarnationDigits = 14;

/**
 * Stand-in for a rank group: all ranks run in one process, with one HTTP port per rank and a barrier per
 * step.
 */
export class GroupServer {
  readonly #settings: z.output<typeof GroupSettings>;
  readonly #group: RankGroup;
  readonly #loadWindow: LoadWindow;
  readonly #demand: ExpertDemand;
  readonly #random: Random;
  readonly #servers: Server[] = [];
  readonly #loadingRanks = new Set<number>();
  readonly #highestEpochs: number[];
  readonly #expertBytes: number;
  #incarnationMs = Date.now();
  #staleOrders = 0;
  #stepTimer: NodeJS.Timeout | null = null;

  readonly #handlers: Readonly<Record<string, Handler>> = {
    "GET /engine/load": (_rank, _request, response) => {
      sendJson(response, { groupSkew: this.#loadWindow.finished?.skew ?? 1 });
    },
    "GET /engine/rank": (rank, _request, response) => {
      sendJson(response, { status: this.#getStatus(rank), report: this.#getReport(rank) });
    },
    "GET /engine/map": (_rank, request, response) => {
      const { searchParams } = new URL(request.url ?? "", "http://engine");
      const map = this.#group.getMap(Number(searchParams.get("version")));
      if (map === null) {
        response.writeHead(404).end();
      } else {
        sendJson(response, map);
      }
    },
    "POST /engine/orders": async (rank, request, response) => {
      const order = (await readJsonBody(request)) as RankOrder;
      const highestEpoch = this.#highestEpochs[rank] ?? 0;
      this.#staleOrders += order.epoch < highestEpoch ? 1 : 0;
      this.#highestEpochs[rank] = Math.max(highestEpoch, order.epoch);
      const fault = this.#group.ranks[rank]?.handle(order, performance.now()) ?? null;
      sendJson(response, { fault, status: this.#getStatus(rank) });
    },
    "POST /standin/restart": (rank, _request, response) => {
      this.#incarnationMs += 1;
      this.#group.restartRank(rank, formatIncarnation(this.#incarnationMs));
      sendJson(response, {});
    },
    "GET /standin/counts": (_rank, _request, response) => {
      const { stepCount, mixedSteps } = this.#group;
      const skew = this.#loadWindow.finished?.skew ?? null;
      const mapVersion = this.#loadWindow.finished?.mapVersion ?? null;
      sendJson(response, { stepCount, mixedSteps, staleOrders: this.#staleOrders, skew, mapVersion });
    },
  };

  constructor(settings: z.output<typeof GroupSettings>) {
    this.#settings = settings;
    const { ports, layerCount, expertCount, slotsPerRank, expertBytes, popularityExponent, seed } = settings;
    const failureDomains = ports.map(() => "");
    const rankCount = ports.length;
    const shape = { rankCount, layerCount, expertCount, slotsPerRank, expertBytes, failureDomains };
    this.#expertBytes = expertBytes;
    this.#highestEpochs = ports.map(() => 0);
    this.#group = new RankGroup({
      shape,
      startMap: createContiguousMap(shape, 0),
      msPerToken: settings.tokenMs,
      rankSpeeds: createUniformSpeeds(rankCount),
      orderMaxAgeMs,
      checksFencing: false,
      incarnation: formatIncarnation(this.#incarnationMs),
    });
    this.#loadWindow = new LoadWindow(settings.windowMs);
    const exponent = popularityExponent;
    this.#demand = new ExpertDemand({
      ...{ layerCount, expertCount, exponent, driftAmplitude: 0, seed, flash: null },
    });
    this.#random = createRandom(seed);
  }

  async listen(): Promise<void> {
    const { host, ports, stepIntervalMs } = this.#settings;
    for (const [rank, port] of ports.entries()) {
      const server = createServer((request, response) => {
        this.#handle(rank, request, response).catch(() => response.destroy());
      });
      this.#servers.push(server);
      await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
      });
    }
    this.#stepTimer = setInterval(() => {
      this.#runStep();
    }, stepIntervalMs);
  }

  close(): void {
    clearInterval(this.#stepTimer ?? undefined);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  async #handle(rank: number, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path = ""] = (request.url ?? "").split("?", 1);
    const handler = this.#handlers[`${request.method ?? ""} ${path}`];
    if (handler === undefined) {
      response.writeHead(404).end();
      return;
    }
    await handler(rank, request, response);
  }

  #runStep(): void {
    for (const [rank, { mapToLoad }] of this.#group.ranks.entries()) {
      if (mapToLoad !== null && !this.#loadingRanks.has(rank)) {
        this.#loadingRanks.add(rank);
        void this.#loadWeights(rank, mapToLoad).finally(() => this.#loadingRanks.delete(rank));
      }
    }
    const { layerCount, tokensPerStep } = this.#settings;
    const tokens = Array.from({ length: layerCount }, (_, layer) =>
      sampleTokens(this.#demand.getShares(layer, 0), tokensPerStep, this.#random),
    );
    const result = this.#group.runStep(tokens);
    if (result !== null) {
      this.#loadWindow.add(result, tokens, performance.now());
    }
  }

  /** Fetches the missing weights of a map. Does nothing on failure: the next step retries. */
  async #loadWeights(rank: number, map: ExpertMap): Promise<void> {
    const { weightStoreUrl, loadTimeoutMs } = this.#settings;
    const version = this.#group.ranks[rank]?.getNextVersion() ?? -1;
    const count = countMissingExperts(rank, this.#group.getMap(version), map);
    if (count > 0) {
      try {
        const response = await fetch(`${weightStoreUrl}/transfers`, {
          method: "POST",
          body: JSON.stringify({ sizeBytes: count * this.#expertBytes }),
          signal: AbortSignal.timeout(loadTimeoutMs),
        });
        if (!response.ok) {
          return;
        }
      } catch {
        return;
      }
    }
    this.#group.completeWeightLoad(rank, map);
  }

  #getStatus(rank: number): unknown {
    return this.#group.ranks[rank]?.getStatus(performance.now());
  }

  #getReport(rank: number): unknown {
    const { finished } = this.#loadWindow;
    if (finished === null) {
      return null;
    }
    const { mapVersion, windowMs, endedAtMs, tokens, rankStepMs } = finished;
    const rankCount = this.#settings.ports.length;
    return {
      mapVersion,
      windowMs,
      ageMs: performance.now() - endedAtMs,
      // Every rank serves an equal share of the requests, so it reports an equal share of the tokens.
      tokens: tokens.map((layer) => Array.from(layer, (count) => count / rankCount)),
      stepMs: rankStepMs[rank] ?? 0,
    };
  }
}

function formatIncarnation(startMs: number): string {
  return String(startMs).padStart(incarnationDigits, "0");
}

function sendJson(response: ServerResponse, body: unknown): void {
  response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
}
