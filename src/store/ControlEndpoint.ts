import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { CallCounters } from './CallCounters.js';
import { noFaults } from './FaultInjector.js';
import type { FaultInjector } from './FaultInjector.js';
import type { FaultSettings } from './Types.js';

const maxBodyBytes = 65_536;

async function readBody(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > maxBodyBytes) throw new Error(`the body is larger than ${maxBodyBytes} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}

/**
 * HTTP endpoint for tests. `GET /counters` returns the call counts, `GET /faults` the active faults; `POST /faults`
 * sets the given faults, `DELETE /faults` clears all.
 */
export class ControlEndpoint {
  private readonly server: Server;

  public constructor(
    private readonly counters: CallCounters,
    private readonly faults: FaultInjector,
  ) {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  /** Listens and returns the bound port. */
  public async open(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  public close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const body = await this.route(request);
      ControlEndpoint.send(
        response,
        body === undefined ? 404 : 200,
        body ?? { error: 'no such path' },
      );
    } catch (error) {
      ControlEndpoint.send(response, 400, { error: error instanceof Error ? error.message : '' });
    }
  }

  private async route(request: IncomingMessage): Promise<object | undefined> {
    switch (`${request.method} ${request.url}`) {
      case 'GET /counters':
        return this.counters.read();
      case 'GET /faults':
        return this.faults.current;
      case 'POST /faults':
        this.faults.set(JSON.parse(await readBody(request)) as Partial<FaultSettings>);
        return this.faults.current;
      case 'DELETE /faults':
        this.faults.set(noFaults);
        return this.faults.current;
      default:
        return undefined;
    }
  }

  private static send(response: ServerResponse, code: number, body: object): void {
    response.writeHead(code, { 'content-type': 'application/json' });
    response.end(`${JSON.stringify(body)}\n`);
  }
}
