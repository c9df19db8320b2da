/**
 * Creates a certificate authority and a certificate for tests.
 */
import * as nodeCrypto from 'node:crypto';
import * as fs from 'node:fs';
import * as path from 'node:path';
import type * as links from '@azureworks/links';
import * as x509 from '@peculiar/x509';

/* eslint-disable n/prefer-global/crypto, n/no-unsupported-features/node-builtins --
   the global object is experimental on Node.js 20, its type is not */
const webcrypto = nodeCrypto.webcrypto as unknown as Crypto;
/* eslint-enable */

const ALGORITHM = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' } as const;
const VALID_FROM = new Date('2020-01-01');
const VALID_TO = new Date('2120-01-01');

/** Writes the TLS files of one daemon, signed by an authority of its own. */
export async function writeKeys(folder: string, name: string): Promise<links.TlsFiles> {
  x509.cryptoProvider.set(webcrypto);
  const authorityKeys = await createKeys();
  const validity = { notBefore: VALID_FROM, notAfter: VALID_TO, signingAlgorithm: ALGORITHM };
  const authority = await x509.X509CertificateGenerator.createSelfSigned({
    ...validity,
    serialNumber: '01',
    name: `CN=${name} authority`,
    keys: authorityKeys,
    extensions: [new x509.BasicConstraintsExtension(true, 1, true)],
  });
  const keys = await createKeys();
  const certificate = await x509.X509CertificateGenerator.create({
    ...validity,
    serialNumber: '02',
    subject: `CN=${name}`,
    issuer: authority.subject,
    publicKey: keys.publicKey,
    signingKey: authorityKeys.privateKey,
  });
  const exported = await webcrypto.subtle.exportKey('pkcs8', keys.privateKey);
  const key = x509.PemConverter.encode(exported, 'PRIVATE KEY');
  const write = (file: string, text: string): string => {
    const target = path.join(folder, `${name}-${file}.pem`);
    fs.writeFileSync(target, text);
    return target;
  };
  return {
    certificateFile: write('certificate', certificate.toString('pem')),
    keyFile: write('key', key),
    authorityFile: write('authority', authority.toString('pem')),
  };
}

function createKeys(): Promise<CryptoKeyPair> {
  return webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify']);
}
