import { expect } from 'chai';
import { brandAs, type AccountId, type ServiceName } from '../base/index.js';
import { parseQuotaKey, quotaKeysOf } from './QuotaKeys.js';

describe('quota keys', () => {
  it('read back what they limit, also with a slash in a name, or a limit hits another service', () => {
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
