import { Command, Option } from 'clipanion';
import { FleetError } from '../../common/base/index.js';
import type { DecisionReport, StatusReport } from '../../common/services/AdminTypes.js';
import { DaemonClient } from '../DaemonClient.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';

function formatDecision({ time, kind, message, fields }: DecisionReport): string {
  const values = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([field, value]) => `${field}=${value}`);
  return `${time} ${kind}: ${message} ${values.join(' ')}`.trimEnd();
}

/** Shows the decisions about a request or a target. */
export class WhyCommand extends OperatorCommand {
  public static override paths = [['why']];

  public static override usage = Command.Usage({
    category: 'Fleet',
    description: 'show the decisions about a request or a target',
    details: `
      Asks the given daemon, the entry that issued the request id, and the home of the target. A daemon keeps its
      last 20000 decisions.
    `,
    examples: [['Why was a target ejected', '$0 why pujas-3']],
  });

  public id = Option.String();

  protected override async run(): Promise<ExitCode> {
    const client = await this.daemonClient();
    const decisions = [...(await client.decisions(this.id))];
    for (const [daemon, address] of await this.findRelatedDaemons(client)) {
      decisions.push(...(await this.queryDecisions(daemon, address)));
    }
    decisions.sort((one, other) => one.time.localeCompare(other.time));
    if (decisions.length === 0) {
      const message = `no daemon that was asked has a decision about ${this.id}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    this.write(decisions, decisions.map(formatDecision));
    return exitCodes.done;
  }

  /** Admin addresses by daemon: the entry of a request and the home of a target, without the daemon that was asked. */
  private async findRelatedDaemons(client: DaemonClient): Promise<ReadonlyMap<string, string>> {
    const status: StatusReport = await client.status();
    const targets = await client.targets();
    const homes = targets.filter(({ id }) => id === this.id).map(({ home }) => home);
    const entries = status.members
      .map(({ daemon }) => daemon)
      .filter((daemon) => this.id.startsWith(`${daemon}.`));
    const wanted = new Set([...homes, ...entries]);
    return new Map(
      status.members
        .filter(
          ({ daemon, admin }) => wanted.has(daemon) && daemon !== status.daemon && admin !== '',
        )
        .map(({ daemon, admin }) => [daemon, admin]),
    );
  }

  private async queryDecisions(
    daemon: string,
    address: string,
  ): Promise<readonly DecisionReport[]> {
    try {
      return await new DaemonClient([address]).decisions(this.id);
    } catch (error) {
      if (!(error instanceof FleetError)) throw error;
      this.writeToStderr(`${daemon} could not be asked: ${error.message}`);
      return [];
    }
  }
}
