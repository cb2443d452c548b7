//! What a pool predicts for a request, whichever replica it is sent to.

/// What is known of a request when it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Features {
    /// Prompt tokens that the replica has to compute.
    pub tokens: f32,
    /// Prompt tokens that it has to compute for other requests before.
    pub pending: f32,
    /// Other requests that run there.
    pub load: f32,
    /// Expected wait for a slot, in ms.
    pub queue_ms: f32,
}

impl Features {
    fn terms(&self) -> [f32; COUNT] {
        let thousands = [self.tokens / 1000.0, self.pending / 1000.0];
        [1.0, thousands[0], thousands[1], self.load, self.queue_ms / 1000.0]
    }
}

/// Number of terms of the prediction.
const COUNT: usize = 5;
/// Share of the older evidence that each sample replaces: some hundred samples
/// count, a few seconds of a busy node.
const FORGETTING: f32 = 0.99;
/// Samples from which a prediction counts.
const MIN_SAMPLES: u32 = 40;
/// Highest sample that is learnt from, as a multiple of the prediction. A
/// request that was stuck would change the prediction for all others.
const MAX_RATIO: f32 = 3.0;
/// Initial uncertainty of the coefficients.
const INITIAL_VARIANCE: f32 = 4.0;
/// Weight of one sample in the mean of the logs.
const BIAS_WEIGHT: f32 = 0.02;

/// Predicts the time to the first piece of an answer by recursive least
/// squares, relative to the predicted time.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Time in ms: fixed, for a thousand tokens, for a thousand pending
    /// tokens, for each running request, and for a second of expected wait.
    coefficients: [f32; COUNT],
    covariance: [[f32; COUNT]; COUNT],
    samples: u32,
    /// Mean of the logs of actual to predicted time, which is not 0 where the
    /// mean of the ratios is 1.
    bias: f32,
}

impl Model {
    /// Starts from the times that are assumed of a service: for a prompt token
    /// and for each running request.
    pub fn open(token_ms: f32, batch_ms: f32) -> Model {
        let per_thousand = token_ms * 1000.0;
        let coefficients =
            [10.0, per_thousand, per_thousand, batch_ms, 1000.0];
        let mut covariance = [[0.0; COUNT]; COUNT];
        for (at, row) in covariance.iter_mut().enumerate() {
            row[at] = INITIAL_VARIANCE * coefficients[at].max(1.0).powi(2);
        }
        Model { coefficients, covariance, samples: 0, bias: 0.0 }
    }

    /// Whether enough samples were seen.
    pub fn is_ready(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the predicted time, in ms.
    pub fn predict(&self, features: &Features) -> f32 {
        let terms = features.terms();
        let mut sum = 0.0;
        for (term, coefficient) in terms.iter().zip(&self.coefficients) {
            sum += term * coefficient;
        }
        sum.max(1.0)
    }

    /// Returns the fixed time of a request, in ms.
    pub fn fixed_ms(&self) -> f32 {
        self.coefficients[0]
    }

    /// Returns the log of a time relative to its prediction, once predictions
    /// count.
    pub fn log_time(&self, features: &Features, ms: f32) -> Option<f32> {
        let ratio = ms.max(0.5) / self.predict(features);
        self.is_ready().then(|| ratio.ln() - self.bias)
    }

    /// Learns from a time, divided by the factor of its replica.
    pub fn record(&mut self, features: &Features, ms: f32, factor: f32) {
        let predicted = self.predict(features);
        let ms = (ms / factor).max(0.5).min(predicted * MAX_RATIO);
        if self.is_ready() {
            let log = (ms / predicted).ln();
            self.bias += (log - self.bias) * BIAS_WEIGHT;
        }
        self.samples = self.samples.saturating_add(1);
        // Errors grow with the prediction, so all is relative to it.
        let terms = features.terms().map(|term| term / predicted);
        let mut gains = [0.0; COUNT];
        for (gain, row) in gains.iter_mut().zip(&self.covariance) {
            *gain = row.iter().zip(&terms).map(|(one, term)| one * term).sum();
        }
        let spread: f32 =
            gains.iter().zip(&terms).map(|(gain, term)| gain * term).sum();
        let scale = 1.0 / (FORGETTING + spread);
        let error = ms / predicted - 1.0;
        let limits = self.limits();
        for (at, coefficient) in self.coefficients.iter_mut().enumerate() {
            *coefficient += gains[at] * scale * error;
            *coefficient = coefficient.clamp(0.0, limits[at]);
        }
        for row in 0..COUNT {
            for column in 0..COUNT {
                let removed = gains[row] * gains[column] * scale;
                let left = self.covariance[row][column] - removed;
                // Without a limit, the uncertainty of a term that does not
                // occur grows for ever.
                let most = INITIAL_VARIANCE * limits[row] * limits[column];
                self.covariance[row][column] =
                    (left / FORGETTING).clamp(-most, most);
            }
        }
    }

    fn limits(&self) -> [f32; COUNT] {
        [2000.0, 5000.0, 5000.0, 200.0, 2000.0]
    }
}

/// Predicts the time between two pieces of an answer from the running
/// requests, and how many of these are useful.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    weight: f32,
    load: f32,
    gap: f32,
    load_square: f32,
    product: f32,
}

/// Share of the sums of a [`Pace`] that a sample keeps.
const PACE_FORGETTING: f32 = 0.995;
/// Weight from which a pace counts.
const MIN_PACE_WEIGHT: f32 = 40.0;
/// Spread of the load below which the slope can't be told, in requests.
const MIN_LOAD_SPREAD: f32 = 0.7;
/// Least share of the slots that is considered useful.
const MIN_USABLE_SHARE: f32 = 0.25;

impl Pace {
    /// Learns from the mean time between two pieces beside `load` requests.
    pub fn record(&mut self, load: f32, gap_ms: f32) {
        let keep = PACE_FORGETTING;
        self.weight = self.weight * keep + 1.0;
        self.load = self.load * keep + load;
        self.gap = self.gap * keep + gap_ms;
        self.load_square = self.load_square * keep + load * load;
        self.product = self.product * keep + load * gap_ms;
    }

    /// Returns the time between pieces on a replica without other requests,
    /// and what each request adds, in ms.
    pub fn line(&self) -> Option<(f32, f32)> {
        if self.weight < MIN_PACE_WEIGHT {
            return None;
        }
        let load = self.load / self.weight;
        let gap = self.gap / self.weight;
        let variance = self.load_square / self.weight - load * load;
        if variance < MIN_LOAD_SPREAD * MIN_LOAD_SPREAD {
            return None;
        }
        let covariance = self.product / self.weight - load * gap;
        let slope = (covariance / variance).max(0.0);
        Some(((gap - slope * load).max(0.1 * gap), slope))
    }

    /// Returns the gap that is predicted beside `load` requests, in ms.
    pub fn predict(&self, load: f32) -> Option<f32> {
        if self.weight < MIN_PACE_WEIGHT {
            return None;
        }
        let mean = self.gap / self.weight;
        Some(self.line().map_or(mean, |(fixed, each)| fixed + each * load))
    }

    /// Returns the useful number of running requests out of `slots`.
    ///
    /// With n requests, n / (fixed + each * n) pieces come in a ms, and each
    /// request waits fixed + each * n for its next one. Their quotient, the
    /// work done for the delay that it costs, is highest at fixed / each.
    pub fn usable_slots(&self, slots: u32) -> f32 {
        let slots = slots as f32;
        match self.line() {
            Some((fixed, each)) if each > 0.0 => {
                (fixed / each).clamp(slots * MIN_USABLE_SHARE, slots)
            }
            _ => slots,
        }
    }
}
