import { createServer } from "node:net";
import t from "tap";
import { findFreePorts } from "@clementinemux/system/findFreePorts";

const firstPort = 10_000;
const blockSize = 200;
const blockCount = 110;

// Guards against two test processes that get the same port, because each finds it free before the other
// listens on it.
t.test("ports of a block that another process has reserved are not used", async (t) => {
  const blockStart = firstPort + (process.pid % blockCount) * blockSize;
  const other = createServer();
  await new Promise<void>((resolve, reject) => {
    // If another process already listens on the port, the block is reserved as well.
    other.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") {
        resolve();
      } else {
        reject(error);
      }
    });
    other.listen(blockStart, "127.0.0.1", resolve);
  });
  t.teardown(() => other.close());
  const ports = await findFreePorts(blockSize + 5);
  t.equal(new Set(ports).size, blockSize + 5);
  t.ok(ports.every((port) => port < blockStart || port >= blockStart + blockSize));
});
