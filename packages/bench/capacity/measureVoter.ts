import { encode } from "cbor-x";
import { ClaimCommandKind } from "@clementinemux/control/ClaimCommandKind";
import type { ClaimCommand } from "@clementinemux/control/ClaimCommand";
import { ClaimStateMachine } from "@clementinemux/control/ClaimStateMachine";
import { ConfigStateMachine } from "@clementinemux/control/ConfigStateMachine";
import { MemoryVoters } from "./MemoryVoters";
import type { Slope } from "./Slope";
import { createDrainCommand } from "./createDrainCommand";
import { createSlope } from "./createSlope";
import { createTeamConfig } from "./createTeamConfig";
import { measureCpuMs } from "./measureCpuMs";
import { measureRetainedBytes } from "./measureRetainedBytes";

// A configuration with exceptions for 4,100 teams would exceed the size limit.
const teamCounts = [500, 1000, 2000, 3600] as const;
const requestCounts = [2500, 5000, 10_000, 20_000] as const;
const changeCounts = [100, 200, 400, 800] as const;
const changesPerTeamRun = 20;
const claimRetentionMs = 24 * 3_600_000;

/**
 * Measures the slopes of voters of the config group and of a claim group, in memory without disks and
 * sockets.
 */
export function measureVoter(): Slope[] {
  return [
    createSlope("voter.changeCpuMs", "ms/change, 5 voters together", changeCounts, (count) =>
      measureCpuMs(
        () => createVoters(0),
        (voters) => {
          commitChanges(voters, count);
        },
      ),
    ),
    createSlope("voter.changeBytes", "B/change between 5 voters", changeCounts, (count) => {
      const voters = createVoters(0);
      const before = voters.sentBytes;
      commitChanges(voters, count);
      return voters.sentBytes - before;
    }),
    createSlope("voter.heartbeatBytes", "B/s between 5 voters", [1, 2, 4, 8], (seconds) => {
      const voters = createVoters(0);
      const before = voters.sentBytes;
      voters.advance(seconds * 1000);
      return voters.sentBytes - before;
    }),
    createSlope(
      "voter.applyCpuMs",
      "ms/change/exception",
      teamCounts,
      (count) =>
        measureCpuMs(
          () => createMachine(count),
          (machine) => {
            for (let revision = 0; revision < changesPerTeamRun; revision += 1) {
              machine.apply(createDrainCommand(revision));
            }
          },
        ) / changesPerTeamRun,
    ),
    createSlope("voter.exceptionBytes", "B/exception (team)", teamCounts, (count) =>
      measureRetainedBytes(() => createMachine(count)),
    ),
    createSlope(
      "voter.exceptionSnapshotBytes",
      "B/exception",
      teamCounts,
      (count) => createMachine(count).createSnapshot().length,
    ),
    createSlope("voter.requestIdBytes", "B/held request id", requestCounts, (count) =>
      measureRetainedBytes(() => createMachineWithRequests(count)),
    ),
    createSlope(
      "voter.requestIdSnapshotBytes",
      "B/held request id",
      requestCounts,
      (count) => createMachineWithRequests(count).createSnapshot().length,
    ),
    createSlope("voter.snapshotCpuMs", "ms/held request id", requestCounts, (count) =>
      measureCpuMs(
        () => createMachineWithRequests(count),
        (machine) => machine.createSnapshot(),
      ),
    ),
    createSlope("voter.catchUpCpuMs", "ms/missed change", changeCounts, (count) =>
      measureCpuMs(
        () => {
          const voters = createVoters(0);
          const connect = voters.partitionFollower();
          commitChanges(voters, count);
          connect();
          return voters;
        },
        (voters) => {
          for (let round = 0; round < 100 && !voters.isCaughtUp; round += 1) {
            voters.advance(100);
          }
        },
      ),
    ),
    createSlope(
      "claims.claimCpuMs",
      "ms/claim, 3 voters together, batches of 16",
      [160, 320, 640, 1280],
      (count) =>
        measureCpuMs(
          () => new MemoryVoters(3, () => new ClaimStateMachine()),
          (voters) => {
            commitClaims(voters, count);
          },
        ),
    ),
    createSlope("claims.claimBytes", "B/claim between 3 voters", [160, 320, 640, 1280], (count) => {
      const voters = new MemoryVoters(3, () => new ClaimStateMachine());
      const before = voters.sentBytes;
      commitClaims(voters, count);
      return voters.sentBytes - before;
    }),
    createSlope("claims.recordBytes", "B/claim without a recorded response", requestCounts, (count) =>
      measureRetainedBytes(() => createClaims(count)),
    ),
    createSlope(
      "claims.snapshotBytes",
      "B/claim",
      requestCounts,
      (count) => createClaims(count).createSnapshot().length,
    ),
    createSlope("claims.tombstoneBytes", "B/tombstone", requestCounts, (count) =>
      measureRetainedBytes(() => {
        const machine = createClaims(count);
        machine.apply({ ...createClaim(count), nowMs: createClaim(count).nowMs + claimRetentionMs + 1 });
        return machine;
      }),
    ),
  ];
}

function createVoters(teamCount: number): MemoryVoters {
  return new MemoryVoters(5, () => createMachine(teamCount));
}

/** Commits changes one at a time, each based on the revision of the previous one. */
function commitChanges(voters: MemoryVoters, count: number): void {
  for (let revision = 0; revision < count; revision += 1) {
    voters.commit([createDrainCommand(revision)]);
  }
}

function commitClaims(voters: MemoryVoters, count: number): void {
  for (let index = 0; index < count; index += 16) {
    voters.commit(Array.from({ length: 16 }, (_, offset) => createClaim(index + offset)));
  }
}

function createMachine(teamCount: number): ConfigStateMachine {
  const machine = new ConfigStateMachine();
  const config = createTeamConfig(teamCount);
  machine.restore(encode({ config, history: [], requests: [], groups: [], nowMs: 0 }));
  return machine;
}

function createMachineWithRequests(count: number): ConfigStateMachine {
  const machine = createMachine(0);
  for (let revision = 0; revision < count; revision += 1) {
    machine.apply(createDrainCommand(revision));
  }
  return machine;
}

function createClaims(count: number): ClaimStateMachine {
  const machine = new ClaimStateMachine();
  for (let index = 0; index < count; index += 1) {
    machine.apply(structuredClone(createClaim(index)));
  }
  return machine;
}

function createClaim(index: number): ClaimCommand {
  const id = String(index).padStart(12, "0");
  return {
    kind: ClaimCommandKind.Claim,
    nowMs: 1_764_800_000_000,
    claimRetentionMs,
    tombstoneRetentionMs: 30 * claimRetentionMs,
    request: {
      team: `team-${index % 4100}`,
      key: `order-0a1b2c3d-4e5f-${id}`,
      bodyDigest: `3q2+7wABAgMEBQYHCAkKCwwNDg8QERITFBUWFxgZ${id}`,
      claimant: { entry: `entry-${index % 350}`, incarnation: "01764800000000-1a2b3c4d" },
      requestId: `0a1b2c3d-4e5f-4a6b-8c7d-${id}`,
      createdAtMs: null,
    },
  };
}
