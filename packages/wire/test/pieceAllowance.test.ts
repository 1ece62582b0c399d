import t from "tap";
import { PieceAllowance } from "@clementinemux/wire/PieceAllowance";

/** Takes small pieces until one is refused, and returns their number. */
function drain(allowance: PieceAllowance, nowMs: number): number {
  let taken = 0;
  while (allowance.takePiece(255, nowMs)) {
    taken += 1;
  }
  return taken;
}

// Guards against a limit that never refills, or that lets more through than its burst after a long time.
t.test("refills to the burst", (t) => {
  const allowance = new PieceAllowance(100, 1000);
  t.equal(drain(allowance, 5000), 100);
  t.equal(drain(allowance, 5010), 10);
  t.equal(drain(allowance, 1_000_000), 100);
  t.end();
});

// Guards against large responses that are refused for the number of their pieces.
t.test("large pieces are free", (t) => {
  const allowance = new PieceAllowance(100, 1000);
  drain(allowance, 0);
  t.ok(allowance.takePiece(256, 0));
  t.notOk(allowance.takePiece(255, 0));
  t.end();
});

// Guards against a wait that ends too early, or that takes what it waits for.
t.test("tells the wait for several", (t) => {
  const allowance = new PieceAllowance(100, 1000);
  t.equal(allowance.getWaitMs(100, 0), 0);
  t.ok(allowance.take(90, 0));
  t.equal(allowance.getWaitMs(30, 0), 20);
  t.notOk(allowance.take(30, 19));
  t.ok(allowance.take(30, 20));
  t.end();
});
