import { Command, Option } from 'clipanion';
import type { ServiceName } from '../../common/base/index.js';
import { brandAs } from '../../common/base/index.js';
import type { Automation } from '../../common/configuration/Types.js';
import { choice, duration } from '../../common/settings/index.js';
import { ChangeCommand } from '../ChangeCommand.js';
import { pauseAutomation, resumeAutomation } from '../edits.js';
import type { ExitCode } from '../exitCodes.js';

const automations = choice<Automation>('ejection', 'hedging', 'retries', 'cross-region');

/** Longest pause: 24 h, so that a forgotten pause expires within a day. */
const maxPauseMs = 86_400_000;

/** Pauses or resumes an automatic action. */
export class PauseCommand extends ChangeCommand {
  public static override paths = [['pause'], ['resume']];

  public static override usage = Command.Usage({
    category: 'Automation',
    description: 'pause or resume ejection, hedging, retries or cross-region traffic',
    details:
      'A pause ends by itself after --for, at most 24 h. Without --service it covers all services.',
    examples: [
      ['Pause ejection for 30 minutes', '$0 pause ejection --service pujas --for "30 min"'],
      ['Resume ejection', '$0 resume ejection --service pujas'],
    ],
  });

  public automation = Option.String();

  public service = Option.String('--service', { description: 'only this service' });

  public length = Option.String('--for', '1 h', { description: 'length of the pause' });

  protected override async run(): Promise<ExitCode> {
    const automation = PauseCommand.parse('automation', automations, this.automation);
    const bounds = { min: 1_000, max: maxPauseMs };
    const length = PauseCommand.parse('--for', duration(bounds), this.length);
    const { author } = await this.connections();
    const verb = this.path[0] ?? '';
    const scope = this.service === undefined ? 'all services' : `service ${this.service}`;
    if (verb === 'resume') {
      return this.change({
        summary: `resume ${automation} for ${scope}`,
        edit: resumeAutomation(automation, this.service),
      });
    }
    const now = this.context.clock.now();
    const expires = new Date(now.getTime() + length).toISOString();
    const document = { automation, expires, author };
    const service =
      this.service === undefined ? {} : { service: brandAs<ServiceName>(this.service) };
    return this.change({
      summary: `pause ${automation} for ${scope} until ${expires}`,
      undo: `resume ${automation}${this.service === undefined ? '' : ` --service ${this.service}`}`,
      edit: pauseAutomation({ ...document, ...service }, now),
    });
  }
}
