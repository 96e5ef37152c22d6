import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import { listen } from './listen.js';

/** Below the ephemeral port range, so that no outgoing connection takes a port before the caller binds it. */
const lowestPort = 10_000;
const highestPort = 30_000;

function isAddressInUse(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/** Starts at a random port, so that processes that search at the same time rarely compete for the same ports. */
let nextPort = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));

/** Never repeats a recent port, because the caller that got it may not have bound it yet. */
function nextCandidatePort(): number {
  const port = nextPort;
  nextPort = port + 1 < highestPort ? port + 1 : lowestPort;
  return port;
}

async function bindFreePort(server: Server): Promise<number> {
  for (let tries = lowestPort; tries < highestPort; tries += 1) {
    try {
      return await listen(server, `127.0.0.1:${nextCandidatePort()}`);
    } catch (error) {
      if (!isAddressInUse(error)) throw error;
    }
  }
  throw new Error(`no free port from ${lowestPort} to ${highestPort}`);
}

/** Finds `count` distinct free ports on loopback; throws if there are not enough. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) ports.push(await bindFreePort(server));
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
}
