// Reporter for the Node.js test runner that writes one JSON line for each test. A suite that fails only because of its tests is
// left out, as its failing tests are reported themselves.
import { relative } from 'node:path'

const rootDirectory = new URL('..', import.meta.url).pathname
const toSourcePath = file => relative(rootDirectory, file).replace('/lib/test/', '/test/').replace(/\.js$/, '.ts')
const reported = { 'test:pass': true, 'test:fail': false }

export default async function * recordTestResults (source) {
  for await (const { type, data } of source) {
    if (!(type in reported) || data.details?.error?.failureType === 'subtestsFailed') continue
    yield `${JSON.stringify({ file: toSourcePath(data.file ?? data.name), name: data.name, passed: reported[type] })}\n`
  }
}
