import fc from "fast-check";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { CountDecoder } from "@clementinemux/ranker/CountDecoder";
import { CountEncoder } from "@clementinemux/ranker/CountEncoder";
import { choicesPerCountUnit } from "@clementinemux/ranker/choicesPerCountUnit";

// Guards against decoded counts that drift from the rank's when responses are lost, or when the rank or its
// ranker restarts.
t.test("decoded counts are exact to within one unit, whichever responses are lost", (t) => {
  const step = fc.record({
    added: fc.array(fc.integer({ min: 0, max: 5_000_000 }), { minLength: 5, maxLength: 5 }),
    isLost: fc.boolean(),
    isReborn: fc.boolean(),
    isNewSender: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      let sender = new CountEncoder(1);
      const receiver = new CountDecoder();
      let counts = [0, 0, 0, 0, 0];
      for (const [index, { added, isLost, isReborn, isNewSender }] of steps.entries()) {
        counts = added.map((value, expert) => value + (isReborn ? 0 : (counts[expert] ?? 0)));
        sender = isNewSender ? new CountEncoder(1_000_000 * (index + 1)) : sender;
        const packed = sender.encode(counts, receiver.baseId, index % 3 > 0);
        const received = isLost ? null : receiver.decode(packed);
        if (
          !isLost &&
          received?.some((value, expert) => Math.abs(value - (counts[expert] ?? 0)) >= choicesPerCountUnit)
        ) {
          throw new Error(`${received.join(" ")} for ${counts.join(" ")}`);
        }
        if (!isLost && received === null) {
          throw new Error("the response to the current request could not be decoded");
        }
      }
    }),
    { seed: 5, numRuns: 300 },
  );
  t.end();
});

// Guards against differences that are added to the wrong counts when two requests overlap.
t.test("a difference from another response is not used", (t) => {
  const sender = new CountEncoder(1);
  const receiver = new CountDecoder();
  receiver.decode(sender.encode([80, 80], receiver.baseId));
  const first = sender.encode([160, 80], receiver.baseId);
  const { baseId: held } = receiver;
  t.same(receiver.decode(first), [160, 80]);
  const late = new CountEncoder(1);
  late.encode([80, 80], null);
  t.equal(receiver.decode(late.encode([240, 80], held)), null);
  t.same(receiver.decode(sender.encode([240, 80], held)), [240, 80], "the encoder sends complete counts");
  t.end();
});

// Guards against polls that fill the links: counts are most of the traffic between failure domains.
t.test("counts of a short interval take about a byte each", (t) => {
  const sender = new CountEncoder(1);
  const counts = Array.from({ length: 256 }, (_, expert) => 50_000_000 / (expert + 1));
  const { id } = sender.encode(counts, null);
  const { bytes } = sender.encode(
    counts.map((count, expert) => count + 80_000 / (expert + 1) / 4),
    id,
  );
  t.ok(bytes.length < 300, `${bytes.length} bytes`);
  t.end();
});

// Guards against counts of large groups that fill the leader's link and the paths between failure domains.
t.test("compressed counts of a short interval take about a fifth of a byte each", (t) => {
  const random = createRandom(3);
  const sender = new CountEncoder(1);
  const receiver = new CountDecoder();
  const experts = 3840;
  let counts = new Array<number>(experts).fill(1_000_000);
  receiver.decode(sender.encode(counts, receiver.baseId, true));
  counts = counts.map((count) => count + Math.floor(-Math.log(1 - random()) * 4));
  const encoded = sender.encode(counts, receiver.baseId, true);
  t.ok(encoded.bytes.length < experts * 0.22, `${encoded.bytes.length} bytes`);
  const decoded = receiver.decode(encoded);
  t.ok(decoded?.every((count, expert) => Math.abs(count - (counts[expert] ?? 0)) < choicesPerCountUnit));
  t.end();
});

// Guards against counts that cannot be read while leaders or rankers of two releases run.
t.test("counts are compressed only for clients that ask for it", (t) => {
  const counts = [80, 160];
  t.equal("isDeflated" in new CountEncoder(1).encode(counts, null), false);
  t.same(new CountDecoder().decode(new CountEncoder(1).encode(counts, null)), counts);
  t.same(new CountDecoder().decode(new CountEncoder(1).encode(counts, null, true)), counts);
  t.end();
});
