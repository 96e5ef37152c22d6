import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import { listen } from './listen.js';

/** Ports below those that the operating system gives to outgoing connections, which could take one meanwhile. */
const lowestPort = 10_000;
const highestPort = 30_000;

function isTaken(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/** Binds the server to the first free port from `first` on. */
async function bind(server: Server, first: number): Promise<number> {
  for (let port = first; port < highestPort; port += 1) {
    try {
      return await listen(server, `127.0.0.1:${port}`);
    } catch (error) {
      if (!isTaken(error)) throw error;
    }
  }
  throw new Error(`no free port from ${first} to ${highestPort}`);
}

/** Finds `count` free ports on loopback. Processes that search at the same time begin at different ones. */
export async function findFreePorts(count: number): Promise<number[]> {
  const range = highestPort - lowestPort - 1_000;
  let next = lowestPort + Math.floor(Math.random() * range);
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    const port = await bind(server, next);
    ports.push(port);
    next = port + 1;
  }
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
}
