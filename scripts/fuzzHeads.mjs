// Sends generated messages through Node's http module behind the guard for heads, in both directions. Prints the seed and the number
// of inputs, and fails if a message is accepted that the rule refuses. Usage: npm run fuzz:heads -- --inputs 200000 --seed 1
import { parseArgs } from 'node:util'
import { startRawExchanges } from '../core/message-heads/lib/test/support/exchangeRaw.js'
import { fuzzRequests, fuzzResponses } from '../core/message-heads/lib/test/support/fuzzHeads.js'

const { values } = parseArgs({ options: { inputs: { type: 'string', default: '200000' }, seed: { type: 'string', default: '1' } } })
const options = { inputs: Number(values.inputs), seed: Number(values.seed), exchanges: await startRawExchanges() }
console.log(`seed=${options.seed} inputs=${options.inputs} node=${process.version}`)
await fuzzRequests(options)
console.log(`requests: ${options.inputs} inputs, none accepted that the rule refuses`)
await fuzzResponses(options)
console.log(`responses: ${options.inputs} inputs, none accepted that the rule refuses`)
options.exchanges.stop()
