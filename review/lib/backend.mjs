/* global Buffer, setTimeout, setInterval, clearInterval */
/** Stand-in for a backend, as PROTOCOL.md describes it: runs requests in slots and announces itself. */
import { createServer, request as startRequest } from 'node:http';
import { now } from './base.mjs';

const beatInterval = 1_500;
/** Requests that it queues beside its slots. */
const queueLength = 48;

/** Body that a backend answers to a request id. */
export function bodyOf(id, length = 200) {
  return `${id};`.repeat(Math.ceil(length / (id.length + 1))).slice(0, length);
}

export class Backend {
  running = 0;

  queue = [];

  sequence = 0;

  born = Date.now();

  state = 'ready';

  /** Requests that it began to run: `{ id, at }`. */
  runs = [];

  server = createServer((request, response) => this.handle(request, response));

  /** `workOf` returns the milliseconds and the bytes of the answer of a request. */
  constructor({ id, service, slots, admin, workOf, record }) {
    Object.assign(this, { id, service, slots, admin, workOf, record });
    this.server.keepAliveTimeout = 10_000;
  }

  async listen(host, port) {
    this.address = `${host}:${port}`;
    await new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
  }

  /** Begins to send heartbeats. */
  start() {
    this.beat();
    this.timer = setInterval(() => this.beat(), beatInterval);
  }

  /** Sends no more heartbeats. */
  stopBeats() {
    clearInterval(this.timer);
  }

  close() {
    this.stopBeats();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** The next heartbeat, which may be sent later. */
  nextBeat() {
    this.sequence += 1;
    return JSON.stringify({
      service: this.service,
      address: this.address,
      zone: 'gam-a',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      'warmup-left': '0ms',
      sequence: this.sequence,
      born: this.born,
    });
  }

  async beat() {
    const status = await this.tell('PUT', this.nextBeat());
    if (status !== this.lastStatus) {
      this.record.add('heartbeat answered', { backend: this.id, state: this.state, status });
    }
    this.lastStatus = status;
  }

  /** Sends what the backend says of itself to the daemon on its machine; resolves to the status or an error code. */
  tell(method, body) {
    const [host, port] = this.admin.split(':');
    const path = `/limpettrack/instances/${this.id}`;
    const headers = {
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(body)),
    };
    return new Promise((resolve) => {
      const request = startRequest({ host, port, path, method, headers, timeout: 1_000 });
      request.once('response', (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      request.once('timeout', () => request.destroy());
      request.on('error', (error) => resolve(error.code ?? 'error'));
      request.end(body);
    });
  }

  handle(request, response) {
    const { headers } = request;
    const id = headers['x-limpettrack-request-id'];
    request.on('error', () => {});
    response.on('error', () => {});
    const refuse = (status) => {
      request.resume();
      response.writeHead(status, {
        'x-limpettrack-not-executed': '1',
        'x-limpettrack-instance-id': this.id,
        'content-length': 0,
        ...(id === undefined ? {} : { 'x-limpettrack-request-id': id }),
      });
      response.end();
    };
    if (id === undefined) {
      refuse(400);
      return;
    }
    const expected = headers['x-limpettrack-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.record.add('backend rejects (421)', { backend: this.id, id, expected });
      refuse(421);
      return;
    }
    const deadline = now() + Number(headers['x-limpettrack-deadline-ms'] ?? 60_000);
    let bytes = 0;
    request.on('data', (chunk) => {
      bytes += chunk.length;
    });
    request.once('end', () => {
      if (this.running >= this.slots && this.queue.length >= queueLength) {
        refuse(503);
        return;
      }
      this.queue.push({ id, path: request.url, bytes, deadline, response, refuse });
      this.startNext();
    });
  }

  startNext() {
    while (this.running < this.slots) {
      const next = this.queue.shift();
      if (next === undefined) return;
      if (next.response.destroyed) continue;
      if (next.deadline <= now()) next.refuse(503);
      else this.run(next);
    }
  }

  run({ id, path, bytes, deadline, response }) {
    this.running += 1;
    this.runs.push({ id, at: now() });
    this.record.add('backend runs', { backend: this.id, id, path, bytes });
    const { work, length = 200, sendTime = 0 } = this.workOf(path);
    const left = deadline - now();
    let hasEnded = false;
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      this.running -= 1;
      this.startNext();
    };
    // A backend drops a request when its connection closes.
    response.once('close', end);
    setTimeout(
      () => {
        if (response.destroyed) return;
        const body = work > left ? '' : bodyOf(id, length);
        response.writeHead(work > left ? 504 : 200, {
          'x-limpettrack-request-id': id,
          'x-limpettrack-server-signature': `${this.id}.${id}`,
          'content-length': body.length,
        });
        if (sendTime > 0 && body !== '') this.sendSlowly(response, body, sendTime, end);
        else {
          response.end(body);
          end();
        }
      },
      Math.min(work, left),
    );
  }

  /** Sends two fifths of a large body at once and the rest over `sendTime` milliseconds. */
  sendSlowly(response, body, sendTime, end) {
    const pieces = 20;
    const first = Math.ceil(body.length * 0.4);
    const size = Math.ceil((body.length - first) / pieces);
    response.write(body.slice(0, first));
    let sent = first;
    const timer = setInterval(() => {
      if (response.destroyed) {
        clearInterval(timer);
        return;
      }
      response.write(body.slice(sent, sent + size));
      sent += size;
      if (sent < body.length) return;
      clearInterval(timer);
      response.end();
      end();
    }, sendTime / pieces);
  }
}
