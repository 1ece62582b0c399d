import fc from "fast-check";
import t from "tap";
import { CountReceiver } from "@clementinemux/ranker/CountReceiver";
import { CountSender } from "@clementinemux/ranker/CountSender";
import { countUnit } from "@clementinemux/ranker/countUnit";

// Guards against counts that drift from those of the rank when answers are lost or belong to another life.
t.test("counts arrive to within one unit, whatever is lost", (t) => {
  const step = fc.record({
    added: fc.array(fc.integer({ min: 0, max: 5_000_000 }), { minLength: 5, maxLength: 5 }),
    isLost: fc.boolean(),
    isReborn: fc.boolean(),
    isNewSender: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      let sender = new CountSender(1);
      const receiver = new CountReceiver();
      let counts = [0, 0, 0, 0, 0];
      for (const [index, { added, isLost, isReborn, isNewSender }] of steps.entries()) {
        counts = added.map((value, expert) => value + (isReborn ? 0 : (counts[expert] ?? 0)));
        sender = isNewSender ? new CountSender(1_000_000 * (index + 1)) : sender;
        const packed = sender.pack(counts, receiver.held);
        const received = isLost ? null : receiver.unpack(packed);
        if (
          !isLost &&
          received?.some((value, expert) => Math.abs(value - (counts[expert] ?? 0)) >= countUnit)
        ) {
          throw new Error(`${received.join(" ")} for ${counts.join(" ")}`);
        }
        if (!isLost && received === null) {
          throw new Error("an answer to the present question could not be read");
        }
      }
    }),
    { seed: 5, numRuns: 300 },
  );
  t.end();
});

// Guards against differences that are added to the wrong counts when two questions overlap.
t.test("an answer that counts from another one is not used", (t) => {
  const sender = new CountSender(1);
  const receiver = new CountReceiver();
  receiver.unpack(sender.pack([80, 80], receiver.held));
  const first = sender.pack([160, 80], receiver.held);
  const { held } = receiver;
  t.same(receiver.unpack(first), [160, 80]);
  const late = new CountSender(1);
  late.pack([80, 80], null);
  t.equal(receiver.unpack(late.pack([240, 80], held)), null);
  t.same(receiver.unpack(sender.pack([240, 80], held)), [240, 80], "the sender gives whole numbers");
  t.end();
});

// Guards against looks that fill the links: most of what is sent between failure domains are counts.
t.test("counts of a short time take about a byte each", (t) => {
  const sender = new CountSender(1);
  const counts = Array.from({ length: 256 }, (_, expert) => 50_000_000 / (expert + 1));
  const { id } = sender.pack(counts, null);
  const { bytes } = sender.pack(
    counts.map((count, expert) => count + 80_000 / (expert + 1) / 4),
    id,
  );
  t.ok(bytes.length < 300, `${bytes.length} bytes`);
  t.end();
});
