import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { FleetLimiter } from "@clementinemux/control/limits/FleetLimiter";
import { ColdPermitOutcome } from "@clementinemux/gateway/ColdPermitOutcome";
import { GatewayHandler } from "@clementinemux/gateway/GatewayHandler";
import { PermitClient } from "@clementinemux/gateway/PermitClient";
import { PermitOutcome } from "@clementinemux/gateway/PermitOutcome";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { getPercentile } from "../control/getPercentile";

interface LimitsPoint {
  readonly gateways: number;
  readonly requestsPerS: number;
  /** Calls for permits that the leader answers. */
  readonly messagesPerS: number;
  readonly permitsPerS: number;
  /** Processor time of the leader in its handler, without the connection. */
  readonly handlerMicrosPerMessage: number;
  /** Processor time of the leader and the gateways together, by request of a caller. */
  readonly cpuMicrosPerRequest: number;
  /** From the ask for a permit to its answer. */
  readonly askP50Ms: number;
  readonly askP99Ms: number;
}

const host = "127.0.0.1";
const fleetSizes = [3, 21, 104, 350] as const;
const limitedTargets = 8;
const limitPerS = 1.4;
const requestsPerGatewayPerS = 10;
const waitMs = 200;
const callTimeoutMs = 300;
const warmUpMs = 1000;
/** A failure domain of cold targets, at the rate of deployment C. */
const cold = { targets: 24, ratePerS: 9.6 };

/** Measures asks for permits by fleet size, with all targets limited, and with all of them cold: the leader and the gateways share one process. */
export async function runLimitsBench(seconds: number): Promise<object> {
  const points: LimitsPoint[] = [];
  for (const gateways of fleetSizes) {
    points.push(await measure(gateways, seconds, limitedTargets, null));
  }
  const coldPoints: LimitsPoint[] = [];
  for (const gateways of fleetSizes) {
    coldPoints.push(await measure(gateways, seconds, cold.targets, cold.ratePerS));
  }
  return { cold, coldPoints, limitedTargets, limitPerS, requestsPerGatewayPerS, waitMs, points };
}

/** With `coldRatePerS`, the targets are cold and state no limit. */
async function measure(
  gateways: number,
  seconds: number,
  targetCount: number,
  coldRatePerS: number | null,
): Promise<LimitsPoint> {
  const clock = new SystemClock();
  const targets = Array.from({ length: targetCount }, (_, index) => createTarget(index));
  const table = new LimitTable();
  const limiter = new FleetLimiter(table);
  const leader = { messages: 0, handlerMs: 0 };
  const answer = ({ asks, limits }: PermitRequest): PermitResponse => {
    const startedAtMs = performance.now();
    table.merge(limits, clock.monotonicMs());
    const answers = asks.map((ask) => limiter.take(ask, 1, clock.monotonicMs(), () => coldRatePerS));
    leader.messages += 1;
    leader.handlerMs += performance.now() - startedAtMs;
    return { answers, knowsCold: true };
  };
  const server = new RpcServer({
    handlers: { [MessageName.TakePermits]: (body) => answer(body as PermitRequest) },
  });
  const port = await server.listen(host, 0);
  const outcomes = new Counters("permits", "outcome", Object.values(PermitOutcome));
  const connections = Array.from({ length: gateways }, () => new RpcClient({ address: { host, port } }));
  const clients = connections.map((connection, index) =>
    createClient(connection, targets, { gateways, outcomes, index, coldRatePerS }),
  );
  await sendRequests(clients, targets, warmUpMs, []);
  const before = {
    messages: leader.messages,
    handlerMs: leader.handlerMs,
    granted: outcomes.get(PermitOutcome.Granted),
  };
  const cpuBefore = process.cpuUsage();
  const askMs: number[] = [];
  const requests = await sendRequests(clients, targets, seconds * 1000, askMs);
  const { user, system } = process.cpuUsage(cpuBefore);
  const messages = leader.messages - before.messages;
  for (const connection of connections) {
    connection.close();
  }
  await server.close();
  return {
    gateways,
    requestsPerS: round(requests / seconds),
    messagesPerS: round(messages / seconds),
    permitsPerS: round((outcomes.get(PermitOutcome.Granted) - before.granted) / seconds),
    handlerMicrosPerMessage: round(((leader.handlerMs - before.handlerMs) * 1000) / Math.max(1, messages)),
    cpuMicrosPerRequest: round((user + system) / requests),
    askP50Ms: round(getPercentile(askMs, 0.5)),
    askP99Ms: round(getPercentile(askMs, 0.99)),
  };
}

interface ClientOptions {
  readonly gateways: number;
  readonly outcomes: Counters<PermitOutcome>;
  readonly index: number;
  readonly coldRatePerS: number | null;
}

function createClient(
  connection: RpcClient,
  targets: readonly TargetRecord[],
  { gateways, outcomes, index, coldRatePerS }: ClientOptions,
): PermitClient {
  const clock = new SystemClock();
  const limits = new LimitTable();
  for (const target of coldRatePerS === null ? targets : []) {
    limits.note(target, limitPerS, clock.monotonicMs());
  }
  const logger = createLogger("bench", {});
  const errors = new ErrorBoundary({ name: "errors", handlers: Object.values(GatewayHandler), logger });
  const call = async (request: PermitRequest): Promise<PermitResponse | null> => {
    const result = await connection.call(MessageName.TakePermits, request, callTimeoutMs);
    return result.toMaybe().extractNullable() as PermitResponse | null;
  };
  const getLiveEntries = (): number => gateways;
  return new PermitClient({
    limits,
    cold: {
      getRatePerS: () => coldRatePerS,
      listIds: () => new Set(coldRatePerS === null ? [] : targets.map(({ id }) => id)),
      outcomes: new Counters("cold", "outcome", Object.values(ColdPermitOutcome)),
    },
    call,
    getLiveEntries,
    outcomes,
    errors,
    clock,
    random: createRandom(index),
  });
}

/** Sends requests of all gateways at an even rate, each of which asks for a permit if one may be in reach. */
async function sendRequests(
  clients: readonly PermitClient[],
  targets: readonly TargetRecord[],
  durationMs: number,
  askMs: number[],
): Promise<number> {
  const startedAtMs = performance.now();
  const asks: Promise<void>[] = [];
  let sent = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startedAtMs) {
    const due = (elapsedMs * clients.length * requestsPerGatewayPerS) / 1000;
    for (; sent < due; sent += 1) {
      const client = clients[sent % clients.length];
      const candidates = targets.filter((target) => client?.mayHave(target, waitMs));
      if (client !== undefined && candidates.length > 0) {
        asks.push(ask(client, candidates, askMs));
      }
    }
    await delay(1);
  }
  await Promise.all(asks);
  return sent;
}

async function ask(client: PermitClient, targets: readonly TargetRecord[], askMs: number[]): Promise<void> {
  const startedAtMs = performance.now();
  await client.take(targets, waitMs);
  askMs.push(performance.now() - startedAtMs);
}

function createTarget(index: number): TargetRecord {
  return {
    id: `target-${index}`,
    service: "app",
    address: `${host}:${9000 + index}`,
    failureDomain: "a",
    slots: 8,
    isDraining: false,
    isLeaving: false,
    isGone: false,
    bornMs: 1,
    sequence: 1,
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
