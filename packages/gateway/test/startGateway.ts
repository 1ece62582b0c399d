import { request } from "node:http";
import type { IncomingHttpHeaders, RequestOptions } from "node:http";
import { encode } from "cbor-x";
import { createRandom } from "@clementinemux/common/createRandom";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { Gateway } from "@clementinemux/gateway/Gateway";
import type { GatewayOptions } from "@clementinemux/gateway/GatewayOptions";
import type { ColdTarget } from "@clementinemux/registry/ColdTarget";
import type { EvacuatedDomains } from "@clementinemux/registry/EvacuatedDomains";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import type { EntryRecord } from "@clementinemux/registry/EntryRecord";
import type { SyncRequest } from "@clementinemux/registry/SyncRequest";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { WaitingDemand } from "@clementinemux/registry/WaitingDemand";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import { createSyncResponse } from "@clementinemux/standins/gateway/createSyncResponse";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { TestCodec } from "./TestCodec";
import { gatewayDefaults } from "./gatewayDefaults";
import type { TestTarget } from "./TestTarget";

interface CallerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response ended as its framing states. */
  readonly isComplete: boolean;
}

/** Starts a gateway with scripted targets and a stand-in for its coordinator. */
export async function startGateway(
  document: RouteDocument,
  targets: readonly TestTarget[],
  ageMs: number | null = 0,
  options: Partial<GatewayOptions> = {},
) {
  const leaving: SyncRequest["leaving"] = [];
  const crashes = null as CrashEvidence | null;
  const findings = null as CrashFindings | null;
  /** Targets that the coordinator lists besides `targets`. */
  const otherTargets: TargetRecord[] = [];
  /** Failure domains of `targets`; "a" for those that are not listed. */
  const failureDomains: string[] = [];
  const evacuated: EvacuatedDomains = { revision: 0, failureDomains: [] };
  /** What the coordinator states of cold targets. */
  const cold: readonly ColdTarget[] = [];
  /** Answers asks for permits; null while no coordinator leads. */
  const takePermits = null as ((request: PermitRequest) => PermitResponse) | null;
  const places = { otherTargets, failureDomains, evacuated, cold, takePermits };
  /** What the coordinator knows of other gateways. */
  const others: Partial<SyncResponse> = {};
  const entry = null as EntryRecord | null;
  /** Requests that wait at this gateway, and at others. */
  const waiting = {} as WaitingDemand;
  const othersWaiting = {} as WaitingDemand;
  const reported = { isReady: true, entry, leaving, crashes, waiting };
  const state = { document, ageMs, findings, others, othersWaiting, ...reported, ...places };
  const createResponse = ({ documentVersion, entry, leaving, crashes }: SyncRequest): SyncResponse => {
    state.isReady = entry.isReady;
    state.entry = entry;
    state.leaving = leaving;
    state.waiting = entry.waiting ?? {};
    state.crashes = crashes ?? null;
    const { version } = state.document;
    const listed = createSyncResponse({
      service: "app",
      addresses: targets.map(({ address }) => address),
      slots: 4,
      documentVersion: version,
      document: version > documentVersion ? encode(state.document) : null,
      ageMs: state.ageMs,
    });
    const own = (listed.targets ?? []).map((target, index) => ({
      ...target,
      failureDomain: state.failureDomains[index] ?? "a",
    }));
    const { cold, evacuated } = state;
    const known = { targets: [...own, ...state.otherTargets], cold, evacuated };
    const response = { ...listed, waiting: state.othersWaiting, ...state.others, ...known };
    return state.findings === null ? response : { ...response, crashes: state.findings };
  };
  const coordinator = new RpcServer({
    handlers: {
      [MessageName.SyncEntry]: (body) => createResponse(body as SyncRequest),
      [MessageName.TakePermits]: (body) => {
        if (state.takePermits === null) {
          throw new Error("no leader");
        }
        return state.takePermits(body as PermitRequest);
      },
    },
  });
  const framePort = await coordinator.listen("127.0.0.1", 0);
  const [callerPort = 0, readyPort = 0] = await findFreePorts(2);
  await Promise.all(targets.map((target) => target.listen()));
  const codec = new TestCodec();
  const gateway = new Gateway({
    ...gatewayDefaults,
    name: "g-1",
    callerPort,
    readyPort,
    seeds: [`127.0.0.1:${framePort}`],
    codec,
    random: createRandom(1),
    ...options,
  });
  const stop = async (): Promise<void> => {
    gateway.close();
    targets.forEach((target) => {
      target.close();
    });
    await coordinator.close();
  };
  await gateway.start();
  if (state.ageMs !== null) {
    try {
      await waitUntil("the gateway is ready", () => (gateway.isReady ? true : null), 3000);
    } catch (error) {
      // What stays open would hold the file until its timeout.
      await stop();
      throw error;
    }
  }
  const open = (options: RequestOptions, id: string) =>
    request({
      port: callerPort,
      host: "127.0.0.1",
      agent: false,
      ...options,
      headers: { host: "app.test", "x-id": id, "x-key": "key-a", ...(options.headers as object) },
    });
  const call = (options: RequestOptions, id: string, body = ""): Promise<CallerResponse> =>
    new Promise((resolve, reject) => {
      const sent = open(options, id);
      sent.on("error", reject);
      sent.on("response", (response) => {
        let text = "";
        response.on("data", (chunk: Buffer) => (text += chunk.toString()));
        response.on("error", () => undefined);
        response.on("close", () => {
          const { statusCode = 0, headers, complete } = response;
          resolve({ status: statusCode, headers, body: text, isComplete: complete });
        });
      });
      sent.end(body);
    });
  return { gateway, codec, state, call, open, callerPort, readyPort, stop };
}
