import { setTimeout as delay } from "node:timers/promises";
import { Right } from "purify-ts/Either";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createLogger } from "@clementinemux/logging/createLogger";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { EndRecorder } from "../ends/EndRecorder";
import { EndTable } from "../ends/EndTable";
import type { TargetEnd } from "../ends/TargetEnd";
import type { DocumentCommand } from "../routes/DocumentCommand";
import { createTargetRecord } from "./createTargetRecord";

const callMs = 900;
const retryMs = 300;

/** A recorder without a leader until `lead` is called. */
function createRecorder() {
  const written: TargetEnd[] = [];
  let isLeading = false;
  const targets = new TargetRegistry();
  const recorder = new EndRecorder({
    group: {
      get isLeader(): boolean {
        return isLeading;
      },
      propose: (command) => {
        written.push(...((command as DocumentCommand).ends ?? []));
        return Promise.resolve(Right(null));
      },
      getLeaderAddress: () => null,
      createNotLeaderError: () => {
        throw new Error("there is no leader");
      },
    },
    ...{ table: new EndTable(), targets, links: new PeerLinks(undefined), clock: new SystemClock() },
    logger: createLogger("test", {}),
  });
  const lead = (): void => {
    isLeading = true;
  };
  return { recorder, targets, written, lead };
}

// Guards against a late removal that ends the next incarnation of its target.
t.test("the removal of an unknown target does not outlast its call", async (t) => {
  const { recorder, targets, written, lead } = createRecorder();
  const reports = [
    { id: "unknown", bornMs: null, isGone: true, sequence: 0 },
    { id: "known", bornMs: 5, isGone: true, sequence: 1 },
  ];
  t.same(await Promise.all(reports.map((report) => recorder.record(report))), [false, false]);
  await delay(callMs / 2);
  targets.put(createTargetRecord({ id: "unknown", address: "h:1", bornMs: Date.now() }), performance.now());
  lead();
  await delay(retryMs);
  t.same(
    written.map(({ id, bornMs }) => ({ id, bornMs })),
    [{ id: "known", bornMs: 5 }],
  );
  recorder.close();
});
