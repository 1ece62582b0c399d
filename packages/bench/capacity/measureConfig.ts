import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { applyConfigChange } from "@clementinemux/fleet/applyConfigChange";
import { ServingLease } from "@clementinemux/entry/ServingLease";
import type { RevisionChange } from "@clementinemux/messages/RevisionChange";
import { ConfigView } from "@clementinemux/control/ConfigView";
import { FrameKind } from "@clementinemux/wire/FrameKind";
import { MessageName } from "@clementinemux/wire/MessageName";
import { encodeFrame } from "@clementinemux/wire/encodeFrame";
import type { Slope } from "./Slope";
import { createDrainCommand } from "./createDrainCommand";
import { createSlope } from "./createSlope";
import { createTeamConfig } from "./createTeamConfig";
import { measureCpuMs } from "./measureCpuMs";
import { measureRetainedBytes } from "./measureRetainedBytes";

const counts = [200, 400, 600, 800, 1000] as const;
const teamCounts = [500, 1000, 2000, 4100] as const;

/** Measures the slopes of distributing the configuration to a node. */
export function measureConfig(): Slope[] {
  return [
    createSlope("config.deltaBytes", "B/change", counts, (count) =>
      measureBytes({ changes: createChanges(count), config: null }),
    ),
    createSlope("config.wholeBytes", "B/exception (team)", teamCounts, (count) =>
      measureBytes({ changes: [], config: createTeamConfig(count) }),
    ),
    createSlope("config.applyCpuMs", "ms/change at an entry", counts, (count) =>
      measureCpuMs(
        () => new ServingLease(createTeamConfig(4100)),
        (lease) => {
          const renewal = { epoch: 1, revision: count, confirmed: true, leaseMs: 4000 };
          lease.onRenewed({ ...renewal, changes: createChanges(count), config: null }, 0);
        },
      ),
    ),
    createSlope("config.applyCpuMsByException", "ms/change/exception at an entry", teamCounts, (count) => {
      const config = createTeamConfig(count);
      const [first] = config.exceptions;
      return (
        measureCpuMs(
          () => config,
          (start) => {
            let next: FleetConfig = start;
            for (let index = 0; index < 100 && first !== undefined; index += 1) {
              const exception = { ...first, id: `added-${index}` };
              next = applyConfigChange(next, { kind: ConfigChangeKind.AddException, exception }).orDefault(
                next,
              );
            }
          },
        ) / 100
      );
    }),
    createSlope(
      "config.relayDeltaCpuMs",
      "ms/held change for each renewal that lacks one",
      [100, 250, 500, 1000],
      (count) => {
        const view = new ConfigView();
        view.update({ revision: count, config: null, changes: createChanges(count) });
        return (
          measureCpuMs(
            () => undefined,
            () => {
              for (let round = 0; round < 200; round += 1) {
                view.getMissing(count - 1);
              }
            },
          ) / 200
        );
      },
    ),
    createSlope("config.nodeBytes", "B/exception (team)", teamCounts, (count) =>
      measureRetainedBytes(() => createTeamConfig(count)),
    ),
  ];
}

function createChanges(count: number): RevisionChange[] {
  return Array.from({ length: count }, (_, index) => ({
    revision: index + 1,
    change: createDrainCommand(index).request.change,
  }));
}

function measureBytes(body: {
  readonly changes: readonly RevisionChange[];
  readonly config: FleetConfig | null;
}): number {
  const renewal = { epoch: 1, revision: 1000, confirmed: true, leaseMs: 4000, ...body };
  const frame = { kind: FrameKind.Response, id: 12_345, name: MessageName.Renew, body: renewal };
  return encodeFrame(frame).length;
}
