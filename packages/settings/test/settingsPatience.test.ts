import t from "tap";
import { SettingsPatience } from "@clementinemux/settings/SettingsPatience";

function countReads(patience: SettingsPatience, text: string): number {
  let count = 0;
  while (patience.shouldReread(text)) {
    count += 1;
  }
  return count;
}

// Guards against a start that gives up while the file is still being written.
t.test("each change of the settings starts the wait anew", (t) => {
  const patience = new SettingsPatience();
  for (let read = 0; read < 1000; read += 1) {
    t.equal(patience.shouldReread(`half ${Math.floor(read / 100)}`), true);
  }
  t.equal(countReads(patience, "half") * patience.rereadIntervalMs, 10_000);
  t.end();
});

// Guards against a line for each read.
t.test("faults are reported once each, and at most once a second", (t) => {
  const patience = new SettingsPatience();
  let count = 0;
  for (let atMs = 0; atMs < 10_000; atMs += patience.rereadIntervalMs) {
    count += patience.shouldReport(`fault at ${atMs}`) ? 1 : 0;
  }
  t.equal(count, 10);
  t.equal(patience.shouldReport("last"), true);
  for (let read = 0; read < 100; read += 1) {
    t.equal(patience.shouldReport("last"), false);
  }
  t.end();
});
