#!/usr/bin/env node
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Builtins, Cli, Command, Option } from 'clipanion';
import { consola } from 'consola';
import { createRandom } from '../api/index.js';
import { quantile } from '../bench/Statistics.js';
import { Callers } from './Callers.js';
import { auction, plant } from './deployments.js';
import { LocalFleet } from './LocalFleet.js';
import type { CallerAnswer, Deployment } from './Types.js';

const deployments: Readonly<Record<string, Deployment>> = { auction, plant };
const callerSeed = 2026;
const slowFault = { slowness: 10, errorShare: 0.3 };
const usageExitCode = 64;

function summarise(answers: readonly CallerAnswer[], deployment: Deployment): string {
  const lines = deployment.kinds.map(({ name, workClass }) => {
    const ofKind = answers.filter(({ kind }) => kind.name === name);
    const count = (result: CallerAnswer['result']): number =>
      ofKind.filter((answer) => answer.result === result).length;
    const durations = ofKind.filter(({ result }) => result === 'done').map((each) => each.duration);
    const latency = `p50 ${quantile(durations, 0.5).toFixed(0)} ms, p99 ${quantile(durations, 0.99).toFixed(0)} ms`;
    const counts = `done ${count('done')}, not run ${count('not-run')}, unknown ${count('unknown')}, wrong ${count('wrong')}`;
    return `  ${name.padEnd(10)} ${workClass.padEnd(12)} ${counts}; ${latency}`;
  });
  return lines.join('\n');
}

/** Returns a problem for each write that ran more than once or got an answer that does not match its starts. */
async function checkWrites(fleet: LocalFleet, answers: readonly CallerAnswer[]): Promise<string[]> {
  const started = await fleet.startedKeys();
  const counts = new Map<string, number>();
  started.forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
  const problems = [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} ran ${count} times`);
  answers.forEach(({ key, result }) => {
    if (key === undefined) return;
    const count = counts.get(key) ?? 0;
    if (result === 'done' && count !== 1) problems.push(`${key} is done but ran ${count} times`);
    if (result === 'not-run' && count > 0) problems.push(`${key} is "not run" but was started`);
  });
  return problems;
}

/** Runs a small fleet under normal load, under a gray failure and through a switch of presets. */
class DemoCommand extends Command {
  public static override readonly paths = [Command.Default];

  public static override readonly usage = Command.Usage({
    description: 'Starts a small fleet on loopback and shows what happens under a gray failure.',
    examples: [
      ['The auction', '$0 auction'],
      ['The plant, with fewer requests', '$0 plant --requests 2000'],
    ],
  });

  private readonly deployment = Option.String({ required: false });

  private readonly requests = Option.String('--requests', '10000');

  private readonly parallel = Option.String('--parallel', '24');

  public async execute(): Promise<number> {
    const deployment = deployments[this.deployment ?? 'auction'];
    if (deployment === undefined) {
      consola.error(`unknown deployment; known: ${Object.keys(deployments).join(', ')}`);
      return usageExitCode;
    }
    const fleet = new LocalFleet(deployment);
    let isStopping = false;
    const stop = async (): Promise<void> => {
      if (isStopping) return;
      isStopping = true;
      consola.log('stopping all processes');
      await fleet.stop();
    };
    process.once('SIGINT', () => {
      void stop().then(() => process.exit(130));
    });
    try {
      return await this.runDemo(fleet, deployment);
    } finally {
      await stop();
    }
  }

  private async runDemo(fleet: LocalFleet, deployment: Deployment): Promise<number> {
    const total = Number(this.requests);
    const parallel = Number(this.parallel);
    consola.log(`deployment: ${deployment.title}`);
    await fleet.startDaemons();
    const file = fileURLToPath(
      new URL(`../../../examples/${deployment.name}/configuration.ini`, import.meta.url),
    );
    await this.runOperatorCommand(fleet, 'preset', 'write', file);
    await this.runOperatorCommand(fleet, 'preset', 'switch', 'ordinary');
    await fleet.startTargets();
    consola.log(
      `${fleet.daemons.length} daemons in ${deployment.dataCentres.length} data centres, ${fleet.targets.length} targets`,
    );
    await delay(2_000);
    const addresses = fleet.daemons.map(({ callers }) => callers);
    const callers = new Callers(() => addresses, deployment.kinds, createRandom(callerSeed));
    const answers: CallerAnswer[] = [];
    const run = async (share: number, title: string): Promise<void> => {
      const batch = await callers.run(Math.ceil(total * share), parallel);
      answers.push(...batch);
      consola.log(
        `${title}: ${batch.length} requests (caller seed ${callerSeed})\n${summarise(batch, deployment)}`,
      );
    };
    await run(0.3, '1. all targets healthy');
    const faultyTarget = fleet.targets.find(({ service }) => service === deployment.faultyService);
    if (faultyTarget !== undefined) {
      await fleet.setFault(faultyTarget, slowFault);
      consola.log(`2. ${faultyTarget.id} is now 10 times slower and fails 3 in 10 requests`);
      await run(0.4, '   under the gray failure');
      await this.runOperatorCommand(fleet, 'target', 'list', '--service', deployment.faultyService);
      await fleet.setFault(faultyTarget, {});
    }
    consola.log('3. an operator switches the preset');
    await this.runOperatorCommand(fleet, 'preset', 'switch', deployment.peakPreset);
    await this.runOperatorCommand(fleet, 'preset', 'status');
    await run(0.3, '   after the switch');
    callers.dispose();
    return this.reportResults(fleet, answers);
  }

  private async reportResults(
    fleet: LocalFleet,
    answers: readonly CallerAnswer[],
  ): Promise<number> {
    const problems = await checkWrites(fleet, answers);
    const wrong = answers.filter(({ result }) => result === 'wrong').length;
    const writes = answers.filter(({ key }) => key !== undefined).length;
    consola.log(`4. ${answers.length} answers checked: ${wrong} wrong or incomplete`);
    consola.log(`   ${writes} writes: ${problems.length} ran twice or got a wrong outcome`);
    problems.slice(0, 10).forEach((problem) => consola.error(problem));
    return problems.length + wrong === 0 ? 0 : 1;
  }

  private async runOperatorCommand(fleet: LocalFleet, ...args: string[]): Promise<void> {
    const { code, output } = await fleet.runCommand(...args);
    const text = output.trimEnd().replaceAll(/^/gm, '   ');
    consola.log(`   $ limpettrack ${args.join(' ')}  (exit ${code})\n${text}`);
  }
}

const cli = new Cli({ binaryName: 'limpettrack-demo', binaryLabel: 'limpettrack demo' });
cli.register(DemoCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
