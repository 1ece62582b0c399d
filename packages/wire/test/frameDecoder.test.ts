import { encode } from "cbor-x";
import t from "tap";
import { FrameDecoder } from "@clementinemux/wire/FrameDecoder";
import { FrameKind } from "@clementinemux/wire/FrameKind";
import { WireError } from "@clementinemux/wire/WireError";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { encodeFrame } from "@clementinemux/wire/encodeFrame";
import { wireLimits } from "@clementinemux/wire/wireLimits";

const frame = { kind: FrameKind.Request, id: 7, name: "announce", body: { target: "runner-1" } };

// Guards against frames that are lost or merged when TCP splits the byte stream at any position.
t.test("frames survive any split", (t) => {
  const bytes = Buffer.concat([encodeFrame(frame), encodeFrame({ ...frame, id: 8 })]);
  for (let cut = 0; cut <= bytes.length; cut += 1) {
    const decoder = new FrameDecoder();
    const frames = [...decoder.push(bytes.subarray(0, cut)), ...decoder.push(bytes.subarray(cut))];
    t.same(frames, [frame, { ...frame, id: 8 }]);
  }
  t.end();
});

// Guards against a peer that announces a huge frame and makes the process buffer it.
t.test("oversized frame is rejected at its header", (t) => {
  const header = Buffer.alloc(wireLimits.headerBytes);
  header.writeUInt32BE(wireLimits.maxFrameBytes + 1);
  t.throws(() => new FrameDecoder().push(header), { code: WireErrorCode.FrameTooLarge });
  t.end();
});

// Guards against processing bytes that are not a frame.
t.test("malformed frame is rejected", (t) => {
  const body = encode([9, 7, "announce", {}]);
  const unknownKind = Buffer.concat([Buffer.from([0, 0, 0, body.length]), body]);
  t.throws(() => new FrameDecoder().push(unknownKind), WireError);
  t.throws(() => new FrameDecoder().push(Buffer.from([0, 0, 0, 1, 0xff])), WireError);
  t.end();
});
