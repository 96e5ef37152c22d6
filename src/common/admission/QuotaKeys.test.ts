import { expect } from 'chai';
import { brandAs, type AccountId, type ServiceName } from '../base/index.js';
import { parseQuotaKey, quotaKeysOf } from './QuotaKeys.js';

describe('quota keys', () => {
  it('can be parsed, also with a slash in a name, so that a limit does not apply to another service', () => {
    const service = brandAs<ServiceName>('a/b');
    const account = brandAs<AccountId>('x/y');
    const keys = quotaKeysOf({ service, workClass: 'bulk', account });
    expect(keys.map(parseQuotaKey)).to.deep.equal([
      { type: 'account', account },
      { type: 'service', service },
      { type: 'class', service, workClass: 'bulk' },
    ]);
  });
});
