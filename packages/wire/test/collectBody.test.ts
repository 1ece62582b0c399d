import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { getUsedHeapBytes } from "@clementinemux/bench/getUsedHeapBytes";
import { collectBody } from "@clementinemux/wire/collectBody";
import { RawConnection } from "./helpers/RawConnection";

const maxBodyBytes = 1_048_576;
/** Far less than a quarter million buffers take. */
const maxHeapBytes = 20_000_000;
const head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";

// Guards against servers of agents, entries and control whose memory goes by the chunks of bodies, not by their bytes.
t.test("bodies in chunks of one byte", async (t) => {
  const server = createServer((request) => {
    collectBody(request, maxBodyBytes).catch(() => undefined);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const callers = await RawConnection.openAll((server.address() as AddressInfo).port, 10);
  const heapBytes = getUsedHeapBytes();
  for (const caller of callers) {
    caller.send(head);
  }
  for (let round = 0; round < 50; round += 1) {
    for (const caller of callers) {
      caller.send("1\r\nx\r\n".repeat(500));
    }
    await delay(10);
  }
  const grownBytes = getUsedHeapBytes() - heapBytes;
  t.ok(grownBytes < maxHeapBytes, `the heap has grown by ${grownBytes} bytes`);
  for (const caller of callers) {
    caller.close();
  }
  server.close();
});
