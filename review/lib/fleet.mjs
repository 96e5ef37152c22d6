/* eslint-disable max-classes-per-file */
/* global URL, setTimeout, clearTimeout, process */
/** Starts the project's daemons with the command and the settings template of the deploy file. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request as startRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { fileURLToPath } from 'node:url';
import { freePort, hasTrouble, loopback, now, waitFor } from './base.mjs';
import { Store } from './store.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));
const deployFile = readFileSync(`${root}deploy/system.toml`, 'utf8');
const [, command] = /^run = "(.*)"$/m.exec(deployFile);
const [, templateFile] = /^template = "(.*)"$/m.exec(deployFile);
const template = readFileSync(`${root}${templateFile}`, 'utf8');

/** Bounds of the site file `mst-mesh.toml`, as settings name them. */
export const bounds = {
  'stable-window': '3000ms',
  drain: '2500ms',
  grace: '6s',
  'retry-budget-ratio': 0.2,
  'retry-window': '10s',
  'budget-slack': 56,
};

function render(fields) {
  return template.replace(/\{\{([^}]+)\}\}/g, (_, path) =>
    path.split('.').reduce((value, key) => value?.[key], fields),
  );
}

/** One daemon process and the machine beside its backend. */
export class Daemon {
  exits = [];

  /** Milliseconds after which the platform starts a process again that has ended; undefined if the script does it. */
  restartDelay;

  constructor(fleet, { name, zone, region, service, number, advertised }) {
    Object.assign(this, { fleet, name, zone, region, service, advertised });
    this.ip = loopback(number);
  }

  async prepare() {
    const { ip } = this;
    const ports = await Promise.all([1, 2, 3, 4, 5].map(() => freePort(ip)));
    [this.inbound, this.outbound, this.readiness, this.admin, this.app] = ports.map(
      (port) => `${ip}:${port}`,
    );
    this.file = `${this.fleet.directory}/${this.name}.ini`;
  }

  /** `advertise` is the address of a proxy in front of `inbound`, if there is one. */
  start(advertise) {
    const { ip, inbound, outbound, readiness, admin, name, zone, region, service } = this;
    const settings = render({
      'node-name': name,
      zone,
      region,
      service,
      ip,
      bounds,
      'app-addr': this.app,
      'listen-addrs': { inbound, outbound, readiness, admin },
      platform: { address: this.fleet.store.address },
    });
    const proxied = advertise === undefined ? '' : `advertised = ${advertise}\n`;
    writeFileSync(this.file, settings.replace('[listen]\n', `[listen]\n${proxied}`));
    this.spawn();
  }

  spawn() {
    const [program, ...parameters] = command.split(' ');
    const { PATH, HOME, LANG } = process.env;
    this.process = spawn(program === 'node' ? process.execPath : program, parameters, {
      cwd: root,
      env: { PATH, HOME, LANG, LIMPETTRACK_NODE_FILE: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.startedAt = now();
    this.fleet.record.add('daemon starts', { daemon: this.name });
    this.process.stdout.on('data', (chunk) => this.fleet.onLog(this, String(chunk)));
    this.process.stderr.on('data', (chunk) => {
      const [first] = String(chunk)
        .split('\n')
        .filter((line) => line.includes('Error'));
      if (first !== undefined) {
        this.fleet.record.add('daemon says', { daemon: this.name, text: `"${first.trim()}"` });
      }
    });
    this.ended = new Promise((resolve) => {
      this.process.once('exit', (code, signal) => {
        this.exits.push({ at: now(), code, signal });
        this.fleet.record.add('daemon ends', { daemon: this.name, code, signal });
        resolve();
        if (this.restartDelay === undefined) return;
        setTimeout(() => {
          if (!this.fleet.isClosed) this.spawn();
        }, this.restartDelay);
      });
    });
  }

  signal(name) {
    this.fleet.record.add('signal', { daemon: this.name, signal: name });
    this.process.kill(name);
  }

  /** Whether the daemon says that it is ready. */
  isReady() {
    return new Promise((resolve) => {
      const [host, port] = this.readiness.split(':');
      const request = startRequest({ host, port, path: '/limpettrack/readyz', timeout: 800 });
      request.once('response', (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.once('timeout', () => request.destroy());
      request.once('error', () => resolve(false));
      request.end();
    });
  }
}

export class Fleet {
  daemons = [];

  store = new Store();

  directory = mkdtempSync(`${tmpdir()}/limpettrack-review-`);

  onLog = () => {};

  constructor(record) {
    this.record = record;
  }

  /** Starts the store and the machines; `configuration` is the operator's. */
  async start(machines, configuration) {
    const host = loopback(250);
    await this.store.listen(host, await freePort(host));
    this.store.putValue('op/config', JSON.stringify(configuration));
    this.daemons = machines.map(
      (machine, index) => new Daemon(this, { ...machine, number: index + 1 }),
    );
    await Promise.all(this.daemons.map((daemon) => daemon.prepare()));
    return this.daemons;
  }

  async ready() {
    for (const daemon of this.daemons) {
      await waitFor(`${daemon.name} is ready`, () => daemon.isReady());
    }
    this.record.add('all daemons are ready');
  }

  close() {
    this.isClosed = true;
    this.daemons.forEach((daemon) => daemon.process?.kill('SIGKILL'));
    this.store.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Configuration of the operator. */
export function configurationOf(version, routes, services) {
  return {
    version: `r${version}`,
    'base-version': `r${version - 1}`,
    resources: [
      ...routes.map(({ name, ...spec }) => ({
        'resource-type': 'routes',
        metadata: { name },
        spec,
      })),
      ...services.map((name) => ({
        'resource-type': 'services',
        metadata: { name },
        spec: { 'health-path': '/healthz' },
      })),
      {
        'resource-type': 'limits',
        metadata: {},
        spec: {
          'max-header-bytes': 16_384,
          'max-body-bytes': 67_108_864,
          'header-timeout': '3000ms',
          'idle-timeout': '15000ms',
        },
      },
    ],
  };
}

/** Clients on one machine that keep their connections. */
export class Clients {
  agent = new Agent({ keepAlive: true });

  sent = [];

  constructor(daemon, record, prefix) {
    Object.assign(this, { daemon, record, prefix, count: 0 });
  }

  /** Sends a request; resolves to what was seen of its answer. */
  send({
    host,
    path,
    method = 'GET',
    deadline = 8_000,
    lookOn = deadline + 500,
    body,
    note = '',
    quiet = false,
  }) {
    this.count += 1;
    const id = `${this.prefix}${String(this.count).padStart(4, '0')}`;
    const [ip, port] = this.daemon.outbound.split(':');
    const entry = { id, sentAt: now(), daemon: this.daemon.name, method, status: undefined };
    this.sent.push(entry);
    if (!quiet)
      this.record.add('client sends', {
        id,
        method,
        path,
        bytes: body?.length ?? 0,
        to: entry.daemon,
        note,
      });
    return new Promise((resolve) => {
      const finish = (outcome, fields = {}) => {
        if (entry.outcome !== undefined) return;
        Object.assign(entry, { outcome, endedAt: now(), ...fields });
        if (!quiet) this.record.add('client sees', { id, outcome, ...fields });
        resolve(entry);
      };
      const headers = {
        host,
        'x-limpettrack-request-id': id,
        'x-limpettrack-deadline-ms': String(deadline),
        ...(body === undefined ? {} : { 'content-length': String(body.length) }),
      };
      const request = startRequest({ agent: this.agent, host: ip, port, path, method, headers });
      entry.request = request;
      request.once('response', (response) => {
        let length = 0;
        response.on('data', (chunk) => {
          length += chunk.length;
        });
        response.once('end', () =>
          finish('answered', { status: response.statusCode, length, complete: response.complete }),
        );
        response.once('error', () => finish('cut', { status: response.statusCode, length }));
      });
      request.on('error', (error) => finish('closed', { error: error.code }));
      const timer = setTimeout(() => {
        finish('gave up');
        request.destroy();
      }, lookOn);
      request.once('close', () => clearTimeout(timer));
      request.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}

export { hasTrouble };
