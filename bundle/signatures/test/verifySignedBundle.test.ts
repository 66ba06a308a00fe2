// Guards against accepting a bundle that is forged, was changed after signing, or lacks the approval of a second
// person.
import assert from 'node:assert/strict'
import { createPublicKey } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { Result } from '@siskinbeam/result-codes/codedError'
import { digestBundle, formatCanonicalJson } from '../src/digestBundle.js'
import { createSigningKeyPair, parsePrivateKey, parsePublicKey, parseTrustedKeys } from '../src/signingKeys.js'
import { createSignedBundle, serializeSignedBundle, parseSignedBundle, SignerRole, type SignedBundle } from '../src/signedBundle.js'
import { signBundle } from '../src/signBundle.js'
import { verifySignedBundle } from '../src/verifySignedBundle.js'

const unwrap = <Value>(result: Result<Value>): Value => {
  assert.ok(result.ok, JSON.stringify(result))
  return result.value
}
const [author, approver, untrusted] = [createSigningKeyPair(), createSigningKeyPair(), createSigningKeyPair()]
const trustedKeys = unwrap(parseTrustedKeys([author.publicKey, approver.publicKey]))
const example = JSON.parse(readFileSync(new URL('../../../../examples/bundles/trust.json', import.meta.url), 'utf8'))
const body = { ...example, version: 7, previousDigest: '0'.repeat(64) }
const sign = (document: SignedBundle, role: SignerRole, privateKey: string): SignedBundle => unwrap(signBundle({ document, role, privateKey }))
const signed = sign(sign(unwrap(createSignedBundle(body)), SignerRole.Author, author.privateKey), SignerRole.Approver, approver.privateKey)
const modifyCopy = (change: (document: any) => void): unknown => {
  const document = structuredClone(signed)
  change(document)
  return document
}

test('a document signed by author and approver is accepted, also after serialization and parsing', () => {
  const verified = unwrap(verifySignedBundle({ document: unwrap(parseSignedBundle(serializeSignedBundle(signed))), trustedKeys, activeVersion: 6 }))
  assert.deepEqual(verified.signers, { author: author.publicKey, approver: approver.publicKey })
  assert.equal(verified.bundle.version, 7)
})

const signedBy = (role: SignerRole, privateKey: string): unknown => sign({ ...signed, signatures: signed.signatures.filter(signature => signature.role !== role) }, role, privateKey)
const asDer = (text: string): string => createPublicKey(unwrap(parsePrivateKey(text)).key).export({ format: 'der', type: 'spki' }).toString('base64')
const refusals: Array<[string, ResultCode, unknown, number?]> = [
  ['a body that violates the schema', ResultCode.BundleInvalid, modifyCopy(document => { document.body.version = 0; document.digest = unwrap(digestBundle(document.body)) })],
  ['a document with an unknown key', ResultCode.BundleInvalid, modifyCopy(document => { document.extra = 1 })],
  ['a deeply nested body', ResultCode.BundleInvalid, modifyCopy(document => { document.body.deep = Array.from({ length: 50 }).reduce<unknown>(inner => [inner], 1) })],
  ['a version that is already active', ResultCode.BundleVersionStale, signed, 7],
  ['a wrong signature', ResultCode.BundleSignatureInvalid, modifyCopy(document => { document.signatures[0].signature = document.signatures[1].signature })],
  ['signatures of another version', ResultCode.BundleSignatureInvalid, modifyCopy(document => { document.body.version = 8; document.digest = unwrap(digestBundle(document.body)) })],
  ['a missing approval', ResultCode.BundleNotApproved, modifyCopy(document => { document.signatures.pop() })],
  ['an approver with the key of the author', ResultCode.BundleNotApproved, modifyCopy(document => { document.signatures[1] = { ...document.signatures[0], role: 'approver' } })],
  ['the key of the author in raw and in DER encoding', ResultCode.BundleNotApproved, modifyCopy(document => { document.signatures[1].publicKey = asDer(author.privateKey) })],
  ['an author with an unknown key', ResultCode.BundleKeyUnknown, signedBy(SignerRole.Author, untrusted.privateKey)],
  ['an approver with an unknown key', ResultCode.BundleKeyUnknown, signedBy(SignerRole.Approver, untrusted.privateKey)],
  ['a changed body', ResultCode.BundleDigestMismatch, modifyCopy(document => { document.body.services[0].servers[0].slots = 4 })]
]
refusals.forEach(([title, code, document, activeVersion]) => test(`${title} is refused with its code`, () => {
  const verified = verifySignedBundle({ document, trustedKeys, activeVersion })
  assert.equal(verified.ok ? undefined : verified.error.code, code)
}))

test('signing refuses a second signature by the same key and a wrong key', () => {
  const twice = signBundle({ document: signed, role: SignerRole.Approver, privateKey: author.privateKey })
  assert.equal(twice.ok ? undefined : twice.error.code, ResultCode.BundleNotApproved)
  ;[parsePublicKey('AAAA'), parsePublicKey(`!${author.publicKey}`), parsePrivateKey(asDer(author.privateKey))].forEach(read => assert.equal(read.ok ? undefined : read.error.code, ResultCode.KeyInvalid))
})

test('canonical JSON does not depend on the order of keys', () => {
  fastCheck.assert(fastCheck.property(fastCheck.jsonValue({ maxDepth: 4 }), value => {
    const reverse = (part: unknown): unknown => Array.isArray(part)
      ? part.map(reverse)
      : typeof part === 'object' && part !== null ? Object.fromEntries(Object.entries(part).reverse().map(([key, inner]) => [key, reverse(inner)])) : part
    const text = formatCanonicalJson(value)
    assert.equal(formatCanonicalJson(reverse(value)), text)
    assert.deepEqual(JSON.parse(text), JSON.parse(JSON.stringify(value)))
  }), { seed: 20_261_204, numRuns: 300 })
})
