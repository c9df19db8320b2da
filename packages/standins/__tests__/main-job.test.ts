import * as demo from '../src/experiments/demo';
import * as deployments from '../src/experiments/deployments';

const TIMEOUT_MS = 120_000;

describe('main job', () => {
  const plans = [deployments.DAPUR_BERSIH, deployments.GUILD];
  it.each(plans)(
    'keeps its promises without faults: $name',
    async (plan) => {
      const report = await demo.runDemo(plan, 1, () => {});
      expect(report.samplesReceived).toBe(report.samplesAskedFor);
      expect(report.answers).toBe(report.requests);
      expect(report).toMatchObject({
        samplesDoubled: 0,
        samplesUnlabelled: 0,
        samplesDamaged: 0,
        answersDamaged: 0,
        answersUnlabelled: 0,
        bookingsRunTwice: 0,
        refusalsThatRan: 0,
        daemonsNotStoppedCleanly: [],
      });
    },
    TIMEOUT_MS,
  );
});
